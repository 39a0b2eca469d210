package experiment

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"lemongate/internal/schema"
	"lemongate/internal/simulation"
)

// Parse reads an experiment. The error is one line that names the field that is wrong.
func Parse(data []byte) (*Experiment, error) {
	if err := schema.Validate("experiment.schema.json", Schema, data); err != nil {
		return nil, err
	}
	var e Experiment
	if err := json.Unmarshal(data, &e); err != nil {
		return nil, fmt.Errorf("bad JSON: %w", err)
	}
	knownMeasures := measures(simulation.Result{})
	for i, c := range e.Cases {
		if err := e.checkCase(c, knownMeasures); err != nil {
			return nil, fmt.Errorf("/cases/%d%w", i, err)
		}
	}
	if err := checkBounds(e.ExpectAll, knownMeasures); err != nil {
		return nil, err
	}
	return &e, nil
}

// checkCase checks what the schema cannot express. Its error begins with the path of the field within the case.
func (e *Experiment) checkCase(c Case, knownMeasures map[string]float64) error {
	sc, err := e.scenario(c)
	if err != nil {
		return fmt.Errorf("/change: %w", err)
	}
	if err := checkBounds(c.Expect, knownMeasures); err != nil {
		return err
	}
	for i, f := range c.Faults {
		if err := checkFault(f, sc); err != nil {
			return fmt.Errorf("/faults/%d: %w", i, err)
		}
	}
	return nil
}

// checkBounds checks bounds. Its error begins with the path of the field.
func checkBounds(bounds []Bound, knownMeasures map[string]float64) error {
	for i, b := range bounds {
		if err := b.check(knownMeasures); err != nil {
			return fmt.Errorf("/expect/%d: %w", i, err)
		}
	}
	return nil
}

func (b Bound) check(knownMeasures map[string]float64) error {
	if _, ok := knownMeasures[b.Measure]; !ok {
		return fmt.Errorf("measure: unknown measure %q", b.Measure)
	}
	if b.Max == nil && b.Min == nil {
		return errors.New("neither most nor least is set")
	}
	return nil
}

// checkFault checks that a fault fits its scenario.
func checkFault(f simulation.Fault, sc simulation.Scenario) error {
	if err := checkNumbers("limiters", f.Limiters, sc.Limiters); err != nil {
		return err
	}
	if err := checkNumbers("backends", f.Backends, sc.Backends.Count); err != nil {
		return err
	}
	if err := checkNumbers("ways", slices.Concat(f.LostDirections...), sc.Limiters); err != nil {
		return err
	}
	if f.Role != "" && sc.Leases == nil {
		return errors.New("who: the scenario has no leases")
	}
	if f.Kind == simulation.FaultClock && f.Rate <= 0 {
		return errors.New("rate: the rate of a clock must be above 0")
	}
	return nil
}

// checkNumbers checks that all numbers of a field are below a count.
func checkNumbers(field string, numbers []int, count int) error {
	for _, n := range numbers {
		if n >= count {
			return fmt.Errorf("%s: number %d, want one below %d", field, n, count)
		}
	}
	return nil
}
