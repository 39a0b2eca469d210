package experiment

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"

	"lemongate/internal/simulation"
)

// Player plays a scenario once.
type Player func(sc simulation.Scenario, seed uint64) simulation.Result

// Playable returns an error that names the first fault that a player cannot play; plays returns the reason
// for each, nil for none.
func (e *Experiment) Playable(plays func(simulation.Fault) error) error {
	for i, c := range e.Cases {
		for j, f := range slices.Concat(e.Base.Faults, c.Faults) {
			if err := plays(f); err != nil {
				return fmt.Errorf("/cases/%d, fault %d: %w", i, j, err)
			}
		}
	}
	return nil
}

// Run plays every case over the seeds from first to last in virtual time, and returns the outcome of
// each. Runs are played in parallel; the outcome does not depend on how many at once.
func (e *Experiment) Run(first, last uint64) []Outcome {
	return e.RunOn(first, last, simulation.Run, runtime.GOMAXPROCS(0))
}

// RunOn is Run with a Player, which plays at most atOnce runs at once.
func (e *Experiment) RunOn(first, last uint64, play Player, atOnce int) []Outcome {
	var outcomes []Outcome
	for _, c := range e.Cases {
		sc, _ := e.scenario(c) // Parse has checked it
		results := e.playSeeds(sc, first, last, play, atOnce)
		outcomes = append(outcomes, summarize(c, slices.Concat(e.All, c.Expect), results, first))
	}
	return outcomes
}

// playSeeds plays a scenario with each seed, and returns when the last run has ended.
func (e *Experiment) playSeeds(sc simulation.Scenario, first, last uint64, play Player, atOnce int) []simulation.Result {
	results := make([]simulation.Result, last-first+1)
	slots := make(chan struct{}, atOnce)
	var runs sync.WaitGroup
	for i := range results {
		seed := first + uint64(i)
		slots <- struct{}{}
		runs.Go(func() {
			results[i] = play(e.withShiftedFaults(sc, seed), seed)
			<-slots
		})
	}
	runs.Wait()
	return results
}

// withShiftedFaults is a scenario whose faults start later by a fraction of Shift that the seed gives. A
// fault that starts with the run stays.
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
