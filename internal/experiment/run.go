package experiment

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"

	"lemongate/internal/simulation"
)

// RunFunc runs a scenario once.
type RunFunc func(sc simulation.Scenario, seed uint64) simulation.Result

// CheckSupported returns an error that names the first fault which check rejects. check returns the reason why a
// fault cannot be run, nil if it can.
func (e *Experiment) CheckSupported(check func(simulation.Fault) error) error {
	for i, c := range e.Cases {
		for j, f := range slices.Concat(e.Base.Faults, c.Faults) {
			if err := check(f); err != nil {
				return fmt.Errorf("/cases/%d, fault %d: %w", i, j, err)
			}
		}
	}
	return nil
}

// Run runs every case with the seeds from first to last in virtual time, and returns the outcome of each case. It
// executes runs in parallel; the outcomes do not depend on how many.
func (e *Experiment) Run(first, last uint64) []Outcome {
	return e.RunWith(first, last, simulation.Run, runtime.GOMAXPROCS(0))
}

// RunWith is Run with a RunFunc; at most parallelism runs are executed at once.
func (e *Experiment) RunWith(first, last uint64, run RunFunc, parallelism int) []Outcome {
	var outcomes []Outcome
	for _, c := range e.Cases {
		sc, _ := e.scenario(c) // Parse has checked it
		results := e.runSeeds(sc, first, last, run, parallelism)
		outcomes = append(outcomes, summarize(c, slices.Concat(e.ExpectAll, c.Expect), results, first))
	}
	return outcomes
}

// runSeeds runs a scenario with each seed, and returns when the last run has ended.
func (e *Experiment) runSeeds(sc simulation.Scenario, first, last uint64, run RunFunc, parallelism int) []simulation.Result {
	results := make([]simulation.Result, last-first+1)
	semaphore := make(chan struct{}, parallelism)
	var runs sync.WaitGroup
	for i := range results {
		seed := first + uint64(i)
		semaphore <- struct{}{}
		runs.Go(func() {
			results[i] = run(e.withShiftedFaults(sc, seed), seed)
			<-semaphore
		})
	}
	runs.Wait()
	return results
}

// withShiftedFaults returns a scenario whose faults start later by a fraction of Shift that depends on the seed.
// Faults that start with the run are not shifted.
func (e *Experiment) withShiftedFaults(sc simulation.Scenario, seed uint64) simulation.Scenario {
	shift := rand.New(rand.NewPCG(seed, 3)).Float64() * e.Shift
	sc.Faults = slices.Clone(sc.Faults)
	for i := range sc.Faults {
		if sc.Faults[i].At > 0 {
			sc.Faults[i].At += shift
		}
	}
	return sc
}
