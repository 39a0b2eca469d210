// Package soak runs limiters as processes under signals, crashes, slow and unlisted backends, lost datagrams and a few clients
// that misbehave, with clients that use every open connection, and checks what clients and backends observed.
//
// The schedule of a run is drawn from its seed, so that a run can be repeated. The real processes perform the same
// steps in each run of a seed, but at slightly different times.
package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Action is what a step of a schedule does. For, in the comments below, is the duration Step.For.
type Action string

// The actions.
const (
	Reload                   Action = "SIGHUP"
	LogCounters              Action = "SIGUSR1"
	Suspend                  Action = "SIGSTOP"                        // and SIGCONT after For
	Terminate                Action = "SIGTERM"                        // and SIGKILL after killAfter, then a new process
	Crash                    Action = "SIGKILL"                        // and a new process after For
	HotRestart               Action = "hot restart"                    // and SIGTERM to the predecessor For after the successor accepts clients
	KillSuccessorEarly       Action = "successor dies early"           // SIGKILL to the successor For after its start
	KillSuccessorInProbation Action = "successor dies in probation"    // SIGKILL to the successor For after it accepts clients
	KillSuccessorLater       Action = "successor dies after probation" // HotRestart, then SIGKILL to the successor
	Unlist                   Action = "unlist"                         // a backend, for the duration For
	SlowBackend              Action = "slow backend"                   // for the duration For
	LoseDatagrams            Action = "lose messages"                  // between limiters, for the duration For
)

// A Step is an action at a time of a run.
type Step struct {
	At     time.Duration // since the start of the run
	Action Action
	Target int           // number of the limiter or backend
	For    time.Duration // see Action; 0 where it has no meaning
}

// String returns the step as a line of text.
func (s Step) String() string {
	return fmt.Sprintf("%6.2f s  %s %d for %v", s.At.Seconds(), s.Action, s.Target, s.For)
}

const (
	// limiters and backends are how many limiters and backends a run has.
	limiters = 3
	backends = 4
	// meanStepInterval is the mean time between two steps.
	meanStepInterval = 350 * time.Millisecond
	// warmUp is the time before the first step, and cooldown the time after the last one.
	warmUp   = 500 * time.Millisecond
	cooldown = 5 * time.Second
	// maxSuspend is the longest time for which the operating requirements allow a limiter to be suspended.
	maxSuspend = 150 * time.Millisecond
	// maxDowntime is the longest time for which a limiter stays down after a crash.
	maxDowntime = 700 * time.Millisecond
	// maxEarlyKillDelay is the longest time from the start of a successor to its kill, which may come before it accepts
	// clients.
	maxEarlyKillDelay = 120 * time.Millisecond
	// maxProbation is the longest time from when a successor accepts clients to the SIGTERM to its predecessor or the
	// SIGKILL to the successor.
	maxProbation = 600 * time.Millisecond
	// maxFaultDuration is the longest time for which a backend is slow or datagrams are lost.
	maxFaultDuration = 4 * time.Second
	// maxUnlisted is the longest time for which a backend is unlisted: more than listPropagationTime.
	maxUnlisted = 10 * time.Second
)

// actionWeights are the relative frequencies of the actions.
var actionWeights = []struct {
	action  Action
	weight  int
	maxFor  time.Duration // upper bound of Step.For
	targets int           // number of limiters or backends from which Step.Target is drawn
}{
	{Reload, 3, 0, limiters},
	{LogCounters, 2, 0, limiters},
	{Suspend, 4, maxSuspend, limiters},
	{Terminate, 3, 0, limiters},
	{Crash, 2, maxDowntime, limiters},
	{HotRestart, 2, maxProbation, limiters},
	{KillSuccessorEarly, 1, maxEarlyKillDelay, limiters},
	{KillSuccessorInProbation, 1, maxProbation, limiters},
	{KillSuccessorLater, 1, maxProbation, limiters},
	{Unlist, 2, maxUnlisted, backends},
	{SlowBackend, 2, maxFaultDuration, backends},
	{LoseDatagrams, 1, maxFaultDuration, 1},
}

// Schedule returns the steps of a run, in the order of their times. Signals often come in series: a step at a limiter
// may be followed by another one at the same limiter within milliseconds.
func Schedule(seed uint64, duration time.Duration) []Step {
	const seriesPercent, seriesInterval = 30, 40 * time.Millisecond
	random := rand.New(rand.NewPCG(seed, 21))
	var steps []Step
	at := warmUp
	for at < duration-cooldown {
		step := drawStep(random, at)
		steps = append(steps, step)
		if isSignal(step.Action) && random.IntN(100) < seriesPercent {
			next := drawStep(random, at+time.Duration(random.Int64N(int64(seriesInterval))))
			if isSignal(next.Action) {
				next.Target = step.Target
			}
			steps = append(steps, next)
		}
		at += time.Duration(random.ExpFloat64() * float64(meanStepInterval))
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}

// isSignal reports whether an action is a signal to a limiter, or a hot restart.
func isSignal(a Action) bool {
	return a != Unlist && a != SlowBackend && a != LoseDatagrams
}

func drawStep(random *rand.Rand, at time.Duration) Step {
	total := 0
	for _, w := range actionWeights {
		total += w.weight
	}
	drawn := random.IntN(total)
	for _, w := range actionWeights {
		if drawn -= w.weight; drawn >= 0 {
			continue
		}
		step := Step{At: at, Action: w.action, Target: random.IntN(w.targets)}
		if w.maxFor > 0 {
			step.For = time.Duration(random.Int64N(int64(w.maxFor))).Round(time.Millisecond)
		}
		return step
	}
	panic("unreachable: a number below the sum of the weights")
}
