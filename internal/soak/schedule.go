// Package soak plays limiters as processes for a while under signals, crashes, slow and unlisted backends and
// lost datagrams, with clients that use every open connection, and judges what clients and backends observed.
//
// The schedule of a run is drawn from its seed, so that a seed is played again. Times within the run are those
// of real processes, and differ a little.
package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Action is what a step of a schedule does.
type Action string

// The actions.
const (
	Reload        Action = "SIGHUP"
	LogCounters   Action = "SIGUSR1"
	Suspend       Action = "SIGSTOP"                        // and SIGCONT after For
	Terminate     Action = "SIGTERM"                        // and SIGKILL after killAfter, then a new process
	Crash         Action = "SIGKILL"                        // and a new process after For
	HotRestart    Action = "hot restart"                    // and SIGTERM to the predecessor, For after the successor admits
	EndEarly      Action = "successor dies early"           // For after its start
	EndInTrial    Action = "successor dies in probation"    // For after it admits
	EndLate       Action = "successor dies after probation" // a hot restart, and SIGKILL For after it
	Unlist        Action = "unlist"                         // a backend, for For
	SlowBackend   Action = "slow backend"                   // for For
	LoseDatagrams Action = "lose messages"                  // between limiters, for For
)

// A Step is something that is done in a run.
type Step struct {
	At     time.Duration // after the start
	Action Action
	Target int           // number of the limiter or backend
	For    time.Duration // see Action; 0 where it has no meaning
}

// String returns the step as a line for people.
func (s Step) String() string {
	return fmt.Sprintf("%6.2f s  %s %d for %v", s.At.Seconds(), s.Action, s.Target, s.For)
}

const (
	// limiters and backends of a run.
	limiters = 3
	backends = 4
	// meanPause is the mean time between two steps.
	meanPause = 350 * time.Millisecond
	// warmUp is the time before the first step, and quietEnd that after the last one.
	warmUp   = 500 * time.Millisecond
	quietEnd = 5 * time.Second
	// maxSuspend is the longest that a limiter may be held up, by the operators' terms.
	maxSuspend = 150 * time.Millisecond
	// maxDown is the longest that a limiter stays down after a crash.
	maxDown = 700 * time.Millisecond
	// maxEarly is the longest that a successor lives which may die before it admits.
	maxEarly = 120 * time.Millisecond
	// maxProbation is the longest that a probation takes, or the time after it until a successor dies.
	maxProbation = 600 * time.Millisecond
	// maxTrouble is the longest that a backend is slow, or messages are lost.
	maxTrouble = 4 * time.Second
	// maxUnlisted is the longest that a backend is not listed: more than limiters have to learn it.
	maxUnlisted = 10 * time.Second
)

// weights say how often each action is drawn.
var weights = []struct {
	action  Action
	weight  int
	longest time.Duration // of For
	targets int
}{
	{Reload, 3, 0, limiters},
	{LogCounters, 2, 0, limiters},
	{Suspend, 4, maxSuspend, limiters},
	{Terminate, 3, 0, limiters},
	{Crash, 2, maxDown, limiters},
	{HotRestart, 2, maxProbation, limiters},
	{EndEarly, 1, maxEarly, limiters},
	{EndInTrial, 1, maxProbation, limiters},
	{EndLate, 1, maxProbation, limiters},
	{Unlist, 2, maxUnlisted, backends},
	{SlowBackend, 2, maxTrouble, backends},
	{LoseDatagrams, 1, maxTrouble, 1},
}

// Schedule returns the steps of a run, in the order of their times. Signals often come in series: a step at a
// limiter is followed by another one there within milliseconds.
func Schedule(seed uint64, duration time.Duration) []Step {
	const seriesPercent, seriesPause = 30, 40 * time.Millisecond
	random := rand.New(rand.NewPCG(seed, 21))
	var steps []Step
	at := warmUp
	for at < duration-quietEnd {
		step := drawStep(random, at)
		steps = append(steps, step)
		if isSignal(step.Action) && random.IntN(100) < seriesPercent {
			next := drawStep(random, at+time.Duration(random.Int64N(int64(seriesPause))))
			if isSignal(next.Action) {
				next.Target = step.Target
			}
			steps = append(steps, next)
		}
		at += time.Duration(random.ExpFloat64() * float64(meanPause))
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
	for _, w := range weights {
		total += w.weight
	}
	number := random.IntN(total)
	for _, w := range weights {
		if number -= w.weight; number >= 0 {
			continue
		}
		step := Step{At: at, Action: w.action, Target: random.IntN(w.targets)}
		if w.longest > 0 {
			step.For = time.Duration(random.Int64N(int64(w.longest))).Round(time.Millisecond)
		}
		return step
	}
	panic("unreachable: a number below the sum of the weights")
}
