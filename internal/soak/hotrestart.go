package soak

import (
	"fmt"
	"time"

	"lemongate/internal/processharness"
)

// takeoverPoll is how often the soak looks whether a successor admits.
const takeoverPoll = 5 * time.Millisecond

// hotRestart starts a successor, and shuts its predecessor down during the probation. Every request has its
// response all the while, and no connection is refused.
func (r *run) hotRestart(step Step) {
	if !r.claim(step.Target) {
		return
	}
	predecessor := r.process(step.Target)
	out := outage{limiter: step.Target, hot: true}
	startedAt := time.Now()
	successor := r.tier.Limiters[step.Target].Start()
	if !r.awaitTakeover(successor, &out) {
		r.giveUp(predecessor, successor, out)
		return
	}
	out.readyIn = time.Since(startedAt)
	time.Sleep(step.For)
	out.from = time.Now()
	r.terminate(predecessor, &out)
	out.to = time.Now()
	r.release(successor, out)
}

// failSuccessor starts a successor and kills it. Its predecessor serves on, or again.
func (r *run) failSuccessor(step Step) {
	if !r.claim(step.Target) {
		return
	}
	predecessor := r.process(step.Target)
	out := outage{limiter: step.Target, hot: true}
	successor := r.tier.Limiters[step.Target].Start()
	if step.Action == EndInTrial && !r.awaitTakeover(successor, &out) {
		r.giveUp(predecessor, successor, out)
		return
	}
	time.Sleep(step.For)
	out.from = time.Now()
	r.kill(successor)
	out.crash = successor.HasLogged(admits) // it may have had clients
	predecessor.Await(r.tier.Host)
	out.to = time.Now()
	out.readyIn = out.to.Sub(out.from)
	r.release(predecessor, out)
}

const (
	// takesOver is in the log of a successor that has connected to its predecessor.
	takesOver = "takes over"
	// admits is in the log of a process before it accepts clients.
	admits = "phase serving"
)

// awaitTakeover waits until a successor admits. If it ends or takes longer than readyWithin, that is a fault.
func (r *run) awaitTakeover(successor *processharness.Process, out *outage) bool {
	for end := time.Now().Add(readyWithin); time.Now().Before(end); time.Sleep(takeoverPoll) {
		select {
		case err := <-successor.Ended:
			successor.Ended <- err // for whoever waits next
			out.failure = fmt.Sprintf("its successor ended by itself with %v", err)
			return false
		default:
		}
		if successor.HasLogged(takesOver) && successor.Healthy() {
			return true
		}
	}
	out.failure = fmt.Sprintf("its successor did not take over in %v", readyWithin)
	return false
}

// giveUp ends a hot restart that failed though it should not.
func (r *run) giveUp(predecessor, successor *processharness.Process, out outage) {
	out.from = time.Now()
	out.log = append(predecessor.LogTail(logLines), successor.LogTail(logLines)...)
	r.kill(successor)
	predecessor.Await(r.tier.Host)
	out.to = time.Now()
	r.release(predecessor, out)
}
