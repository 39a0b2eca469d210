package experiment

import (
	"encoding/json"
	"fmt"
	"slices"

	"lemongate/internal/simulation"
)

// Outcome holds the measures of a case over the runs with its seeds. Measures are fields of simulation.Result and
// SlotResult, under their names in files.
type Outcome struct {
	Case    string             `json:"case"`
	Runs    int                `json:"runs"`
	Mean    map[string]float64 `json:"mean"`
	Worst   map[string]float64 `json:"worst"` // the largest value of all runs
	P99     map[string]float64 `json:"p99"`
	Min     map[string]float64 `json:"least"`
	Broken  []string           `json:"broken,omitempty"`   // the first breach of each run that broke a rule
	Missed  []string           `json:"missed,omitempty"`   // the bounds that were missed
	BadSeed uint64             `json:"bad_seed,omitempty"` // the seed of the first run that broke a rule
}

// summarize returns the outcome of a case; first is the seed of the first result.
func summarize(c Case, bounds []Bound, results []simulation.Result, first uint64) Outcome {
	o := Outcome{
		Case:  c.Name,
		Runs:  len(results),
		Mean:  map[string]float64{},
		Worst: map[string]float64{},
		P99:   map[string]float64{},
		Min:   map[string]float64{},
	}
	values := map[string][]float64{}
	for i, r := range results {
		for measure, v := range measures(r) {
			values[measure] = append(values[measure], v)
		}
		o.recordBreach(r, first+uint64(i))
	}
	for measure, list := range values {
		o.recordMeasure(measure, list)
	}
	for _, b := range bounds {
		o.checkBound(b)
	}
	return o
}

// measures returns the numbers of a result by their names in files.
func measures(r simulation.Result) map[string]float64 {
	var fields map[string]any
	for _, part := range []any{r, r.Slots} {
		data, _ := json.Marshal(part)     // numbers and strings, which cannot fail
		_ = json.Unmarshal(data, &fields) // reads what Marshal wrote
	}
	numbers := map[string]float64{}
	for name, v := range fields {
		if number, ok := v.(float64); ok {
			numbers[name] = number
		}
	}
	return numbers
}

// recordBreach records the first breach of a run, if any.
func (o *Outcome) recordBreach(r simulation.Result, seed uint64) {
	if r.Breaches == 0 {
		return
	}
	if len(o.Broken) == 0 {
		o.BadSeed = seed
	}
	o.Broken = append(o.Broken, fmt.Sprintf("seed %d: %s", seed, r.Broken[0]))
}

// recordMeasure records the statistics of a measure; values are those of the runs.
func (o *Outcome) recordMeasure(measure string, values []float64) {
	total := 0.0
	for _, v := range values {
		total += v
	}
	count := len(values)
	o.Mean[measure] = total / float64(count)
	sorted := slices.Sorted(slices.Values(values))
	o.Min[measure] = sorted[0]
	o.Worst[measure] = sorted[count-1]
	o.P99[measure] = sorted[min(int(0.99*float64(count)), count-1)]
}

// checkBound records a bound if it is missed. A measure that is not a number (NaN) misses every bound.
func (o *Outcome) checkBound(b Bound) {
	high, low, prefix := o.Mean[b.Measure], o.Mean[b.Measure], "mean "
	if b.Over == overEach {
		high, low, prefix = o.Worst[b.Measure], o.Min[b.Measure], ""
	}
	if b.Max != nil && !(high <= *b.Max) {
		o.Missed = append(o.Missed, fmt.Sprintf("%s%s %.2f, at most %g", prefix, b.Measure, high, *b.Max))
	}
	if b.Min != nil && !(low >= *b.Min) {
		o.Missed = append(o.Missed, fmt.Sprintf("%s%s %.2f, at least %g", prefix, b.Measure, low, *b.Min))
	}
}

// Verdict returns the last line to print, and whether all rules and bounds held. If not, the line names the first breach
// or missed bound.
func Verdict(outcomes []Outcome) (line string, held bool) {
	for _, o := range outcomes {
		if len(o.Broken) > 0 {
			return fmt.Sprintf("verdict: broken: %s: %s", o.Case, o.Broken[0]), false
		}
		if len(o.Missed) > 0 {
			return fmt.Sprintf("verdict: broken: %s: %s", o.Case, o.Missed[0]), false
		}
	}
	if len(outcomes) == 0 {
		return "verdict: broken: no case was played", false
	}
	return "verdict: held", true
}
