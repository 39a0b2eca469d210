// Package experiment reads experiments, runs their cases with several seeds and determines the verdict. An
// experiment is a JSON file that experiment.schema.json describes.
package experiment

import (
	_ "embed" // for Schema
	"encoding/json"
	"slices"

	"lemongate/internal/simulation"
)

// Schema is the JSON schema of an experiment.
//
//go:embed experiment.schema.json
var Schema []byte

// Experiment is a scenario, the faults of each of its cases, and what must hold.
type Experiment struct {
	Name      string              `json:"name"`
	About     string              `json:"about"`
	Seeds     int                 `json:"seeds"`   // number of runs of each case, unless the command line says otherwise
	Shift     float64             `json:"shift_s"` // seconds; each run starts its faults up to this much later, depending on the seed
	Base      simulation.Scenario `json:"scenario"`
	Cases     []Case              `json:"cases"`
	ExpectAll []Bound             `json:"expect"` // bounds for every case
}

// Case is a variant of the scenario with faults of its own.
type Case struct {
	Name   string             `json:"name"`
	Faults []simulation.Fault `json:"faults"` // in addition to those of the scenario
	Change json.RawMessage    `json:"change"` // the fields of the scenario that differ in this case
	Expect []Bound            `json:"expect"` // in addition to Experiment.ExpectAll
}

// Bound limits a measure over all seeds: its mean, or its value in each run.
type Bound struct {
	Measure string   `json:"measure"` // a field of simulation.Result or SlotResult, under its name in files
	Over    string   `json:"over"`    // "mean" (default) or "each"
	Max     *float64 `json:"most"`    // nil for no bound
	Min     *float64 `json:"least"`   // nil for no bound
}

// overEach is the value of Bound.Over for a bound on the value in each run.
const overEach = "each"

// scenario returns the scenario of a case: that of the experiment with the case's changes and faults.
func (e *Experiment) scenario(c Case) (simulation.Scenario, error) {
	sc := e.Base
	sc.Plans = slices.Clone(sc.Plans)
	if sc.Leases != nil {
		leases := *sc.Leases
		sc.Leases = &leases
	}
	if len(c.Change) > 0 {
		if err := json.Unmarshal(c.Change, &sc); err != nil {
			return sc, err
		}
	}
	sc.Faults = slices.Concat(sc.Faults, c.Faults)
	return sc, nil
}
