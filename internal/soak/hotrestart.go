package soak

import (
	"fmt"
	"time"

	"lemongate/internal/processharness"
)

// takeoverPoll is the interval at which the soak checks whether a successor accepts clients.
const takeoverPoll = 5 * time.Millisecond

// hotRestart starts a successor, and shuts its predecessor down during the probation. During all of this, every request
// must get its response, and no connection may be refused.
func (r *run) hotRestart(step Step) {
	if !r.claim(step.Target) {
		return
	}
	predecessor := r.process(step.Target)
	out := outage{limiter: step.Target, isHotRestart: true}
	startedAt := time.Now()
	successor := r.tier.Limiters[step.Target].Start()
	if !r.awaitTakeover(successor, &out) {
		r.abandonHotRestart(predecessor, successor, out)
		return
	}
	out.readyIn = time.Since(startedAt)
	time.Sleep(step.For)
	out.from = time.Now()
	r.terminate(predecessor, &out)
	out.to = time.Now()
	r.release(successor, out)
}

// failSuccessor starts a successor and kills it. The predecessor must keep serving, or resume serving.
func (r *run) failSuccessor(step Step) {
	if !r.claim(step.Target) {
		return
	}
	predecessor := r.process(step.Target)
	out := outage{limiter: step.Target, isHotRestart: true}
	successor := r.tier.Limiters[step.Target].Start()
	if step.Action == KillSuccessorInProbation && !r.awaitTakeover(successor, &out) {
		r.abandonHotRestart(predecessor, successor, out)
		return
	}
	time.Sleep(step.For)
	out.from = time.Now()
	r.kill(successor)
	out.isCrash = successor.HasLogged(servingText) // the successor may have accepted clients
	predecessor.AwaitHealthy(r.tier.Host)
	out.to = time.Now()
	out.readyIn = out.to.Sub(out.from)
	r.release(predecessor, out)
}

const (
	// takeoverText is a text that a successor logs when it has connected to its predecessor.
	takeoverText = "takes over"
	// servingText is a text that a process logs before it accepts clients.
	servingText = "phase serving"
)

// awaitTakeover waits until a successor accepts clients, and returns true. If the successor exits or needs more than
// readyWithin, it sets out.failure and returns false.
func (r *run) awaitTakeover(successor *processharness.Process, out *outage) bool {
	for end := time.Now().Add(readyWithin); time.Now().Before(end); time.Sleep(takeoverPoll) {
		select {
		case err := <-successor.Ended:
			successor.Ended <- err // for the next receiver
			out.failure = fmt.Sprintf("the successor exited by itself with %v", err)
			return false
		default:
		}
		if successor.HasLogged(takeoverText) && successor.Healthy() {
			return true
		}
	}
	out.failure = fmt.Sprintf("the successor did not take over within %v", readyWithin)
	return false
}

// abandonHotRestart kills the successor of a hot restart that failed unexpectedly.
func (r *run) abandonHotRestart(predecessor, successor *processharness.Process, out outage) {
	out.from = time.Now()
	out.log = append(predecessor.LogTail(logLines), successor.LogTail(logLines)...)
	r.kill(successor)
	predecessor.AwaitHealthy(r.tier.Host)
	out.to = time.Now()
	r.release(predecessor, out)
}
