// Package experiment reads experiments, plays their cases over seeds and decides
// the verdict. An experiment is a JSON file that experiment.schema.json
// describes; what is wrong with one is told in one line that names the field.
package experiment

import (
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"sync"

	"lemongate/internal/schema"
	"lemongate/internal/simulation"
)

// Schema is the JSON schema of an experiment.
//
//go:embed experiment.schema.json
var Schema []byte

// An Experiment is a scenario, what goes wrong in each of its cases, and what
// must hold.
type Experiment struct {
	Name  string              `json:"name"`
	About string              `json:"about"`
	Seeds int                 `json:"seeds"`   // runs of each case, where the command line names none
	Shift float64             `json:"shift_s"` // faults begin up to this much later, by the seed
	Base  simulation.Scenario `json:"scenario"`
	Cases []Case              `json:"cases"`
	All   []Bound             `json:"expect"` // of every case
}

// A Case is a run of the scenario with faults of its own.
type Case struct {
	Name   string             `json:"name"`
	Faults []simulation.Fault `json:"faults"`
	Change json.RawMessage    `json:"change"` // fields of the scenario that differ
	Expect []Bound            `json:"expect"`
}

// A Bound is what a measure must keep to over all seeds: its mean, or each run.
type Bound struct {
	Measure string   `json:"measure"` // a field of sim.Result
	Over    string   `json:"over"`    // "mean" (default) or "each"
	Most    *float64 `json:"most"`
	Least   *float64 `json:"least"`
}

// Parse reads an experiment. The error names the field that is wrong.
func Parse(data []byte) (*Experiment, error) {
	if err := schema.Validate("experiment.schema.json", Schema, data); err != nil {
		return nil, err
	}
	var x Experiment
	if err := json.Unmarshal(data, &x); err != nil {
		return nil, fmt.Errorf("bad JSON: %w", err)
	}
	known := measures(simulation.Result{})
	for i, c := range x.Cases {
		sc, err := x.scenario(c)
		if err != nil {
			return nil, fmt.Errorf("/cases/%d/change: %w", i, err)
		}
		for j, b := range c.Expect {
			if err := b.check(known); err != nil {
				return nil, fmt.Errorf("/cases/%d/expect/%d: %w", i, j, err)
			}
		}
		for j, f := range c.Faults {
			if err := checkFault(f, sc); err != nil {
				return nil, fmt.Errorf("/cases/%d/faults/%d: %w", i, j, err)
			}
		}
	}
	for j, b := range x.All {
		if err := b.check(known); err != nil {
			return nil, fmt.Errorf("/expect/%d: %w", j, err)
		}
	}
	return &x, nil
}

func (b Bound) check(known map[string]float64) error {
	if _, ok := known[b.Measure]; !ok {
		return fmt.Errorf("measure: no measure %q", b.Measure)
	}
	if b.Most == nil && b.Least == nil {
		return errors.New("neither most nor least")
	}
	return nil
}

func checkFault(f simulation.Fault, sc simulation.Scenario) error {
	for _, n := range f.Limiters {
		if n >= sc.Limiters {
			return fmt.Errorf("limiters: number %d of %d", n, sc.Limiters)
		}
	}
	for _, n := range f.Backends {
		if n >= sc.Backends.Count {
			return fmt.Errorf("backends: number %d of %d", n, sc.Backends.Count)
		}
	}
	for _, n := range slices.Concat(f.Ways...) {
		if n >= sc.Limiters {
			return fmt.Errorf("ways: number %d of %d", n, sc.Limiters)
		}
	}
	if f.Who != "" && sc.Leases == nil {
		return errors.New("who: there are no leases")
	}
	if f.Kind == "clock" && f.Rate <= 0 {
		return errors.New("rate: a clock runs at more than 0")
	}
	return nil
}

// scenario is what a case plays.
func (x *Experiment) scenario(c Case) (simulation.Scenario, error) {
	sc := x.Base
	sc.Plans = slices.Clone(sc.Plans)
	if sc.Leases != nil {
		own := *sc.Leases
		sc.Leases = &own
	}
	if len(c.Change) > 0 {
		if err := json.Unmarshal(c.Change, &sc); err != nil {
			return sc, err
		}
	}
	sc.Faults = slices.Concat(sc.Faults, c.Faults)
	return sc, nil
}

// measures are the figures of a result by name.
func measures(r simulation.Result) map[string]float64 {
	data, _ := json.Marshal(r) // plain numbers and texts
	var all map[string]any
	_ = json.Unmarshal(data, &all)
	m := map[string]float64{}
	for name, v := range all {
		if f, ok := v.(float64); ok {
			m[name] = f
		}
	}
	return m
}

// An Outcome is what came of a case over its seeds.
type Outcome struct {
	Case    string             `json:"case"`
	Runs    int                `json:"runs"`
	Mean    map[string]float64 `json:"mean"`
	Worst   map[string]float64 `json:"worst"` // the largest of all runs
	P99     map[string]float64 `json:"p99"`
	Least   map[string]float64 `json:"least"`
	Broken  []string           `json:"broken,omitempty"`   // rules
	Missed  []string           `json:"missed,omitempty"`   // bounds
	BadSeed uint64             `json:"bad_seed,omitempty"` // the first that broke or missed for itself
}

// Playable tells which fault of an experiment a player cannot play, by its own word on each.
func (x *Experiment) Playable(plays func(simulation.Fault) error) error {
	for i, c := range x.Cases {
		for j, f := range slices.Concat(x.Base.Faults, c.Faults) {
			if err := plays(f); err != nil {
				return fmt.Errorf("/cases/%d, fault %d: %w", i, j, err)
			}
		}
	}
	return nil
}

// A Player plays a scenario once.
type Player func(sc simulation.Scenario, seed uint64) simulation.Result

// Run plays every case over the seeds from first to last in virtual time, and tells what
// came of each. Runs go side by side; the outcome does not depend on how many at once.
func (x *Experiment) Run(first, last uint64) []Outcome {
	return x.RunOn(first, last, simulation.Run, runtime.GOMAXPROCS(0))
}

// RunOn is Run by a player of one's own, so many at once.
func (x *Experiment) RunOn(first, last uint64, play Player, atOnce int) []Outcome {
	var list []Outcome
	for _, c := range x.Cases {
		sc, _ := x.scenario(c) // read before, in Parse
		n := int(last - first + 1)
		results := make([]simulation.Result, n)
		var wait sync.WaitGroup
		slots := make(chan struct{}, atOnce)
		for i := range n {
			slots <- struct{}{}
			wait.Go(func() {
				results[i] = play(x.shifted(sc, first+uint64(i)), first+uint64(i))
				<-slots
			})
		}
		wait.Wait()
		list = append(list, sum(c, slices.Concat(x.All, c.Expect), results, first))
	}
	return list
}

// shifted has the faults begin later by a part of Shift that the seed gives.
func (x *Experiment) shifted(sc simulation.Scenario, seed uint64) simulation.Scenario {
	by := rand.New(rand.NewPCG(seed, 3)).Float64() * x.Shift
	sc.Faults = slices.Clone(sc.Faults)
	for i := range sc.Faults {
		if sc.Faults[i].At > 0 { // what is so from the beginning stays
			sc.Faults[i].At += by
		}
	}
	return sc
}

func sum(c Case, bounds []Bound, results []simulation.Result, first uint64) Outcome {
	o := Outcome{
		Case: c.Name, Runs: len(results), Mean: map[string]float64{}, Worst: map[string]float64{},
		P99: map[string]float64{}, Least: map[string]float64{},
	}
	all := map[string][]float64{}
	for i, r := range results {
		for name, v := range measures(r) {
			all[name] = append(all[name], v)
		}
		if r.Breaches > 0 {
			if len(o.Broken) == 0 {
				o.BadSeed = first + uint64(i)
			}
			o.Broken = append(o.Broken, fmt.Sprintf("seed %d: %s", first+uint64(i), r.Broken[0]))
		}
	}
	for name, values := range all {
		total := 0.0
		for _, v := range values {
			total += v
		}
		o.Mean[name] = total / float64(len(values))
		sorted := slices.Sorted(slices.Values(values))
		o.Least[name], o.Worst[name] = sorted[0], sorted[len(sorted)-1]
		o.P99[name] = sorted[min(int(0.99*float64(len(sorted))), len(sorted)-1)]
	}
	for _, b := range bounds {
		high, low := o.Mean[b.Measure], o.Mean[b.Measure]
		how := "mean "
		if b.Over == "each" {
			high, low, how = o.Worst[b.Measure], o.Least[b.Measure], ""
		}
		if b.Most != nil && !(high <= *b.Most) {
			o.Missed = append(o.Missed, fmt.Sprintf("%s%s %.2f, at most %g", how, b.Measure, high, *b.Most))
		}
		if b.Least != nil && !(low >= *b.Least) {
			o.Missed = append(o.Missed, fmt.Sprintf("%s%s %.2f, at least %g", how, b.Measure, low, *b.Least))
		}
	}
	return o
}

// Verdict is the last line of a run: held, or what first was not.
func Verdict(list []Outcome) (line string, held bool) {
	for _, o := range list {
		if len(o.Broken) > 0 {
			return fmt.Sprintf("verdict: broken: %s: %s", o.Case, o.Broken[0]), false
		}
		if len(o.Missed) > 0 {
			return fmt.Sprintf("verdict: broken: %s: %s", o.Case, o.Missed[0]), false
		}
	}
	if len(list) == 0 {
		return "verdict: broken: no case was played", false
	}
	return "verdict: held", true
}

// A column shows a measure, over the runs of a case.
type column struct{ head, of, name string }

// stores are the columns of most experiments, leases those of experiments with leases.
var (
	stores = []column{
		{"asked", "mean", "asked"}, {"due", "mean", "due"}, {"inside", "mean", "inside"},
		{"beyond", "mean", "beyond"}, {"b.p99", "p99", "beyond_worst"}, {"b.worst", "worst", "beyond_worst"},
		{"room", "mean", "refused_room"}, {"under", "worst", "under_worst"},
		{"msg/req", "mean", "messages_per_req"}, {"B/req", "mean", "bytes_per_req"}, {"us/req", "mean", "cpu_us_per_req"},
		{"wait50", "mean", "wait_50_ms"}, {"wait99", "mean", "wait_99_ms"},
	}
	uses = []column{
		{"holders", "mean", "holders"}, {"overlaps", "worst", "overlaps"}, {"periods", "mean", "periods"},
		{"twice", "worst", "use_twice"}, {"again", "mean", "use_again"}, {"faults", "mean", "use_faults"}, {"inside", "mean", "inside"}, {"over", "worst", "use_over"},
		{"under", "mean", "use_under"}, {"u.worst", "worst", "use_under"}, {"none ms", "mean", "no_holder_ms"},
		{"msg/s", "mean", "lease_messages_per_s"}, {"served", "mean", "served"}, {"us/req", "mean", "cpu_us_per_req"},
	}
	zones = []column{
		{"reqs", "mean", "reqs"}, {"served", "mean", "served"}, {"refused", "mean", "refused"}, {"failed", "mean", "failed"},
		{"fetches", "mean", "fetches"}, {"near", "mean", "near"}, {"dead", "mean", "dead"}, {"d.worst", "worst", "dead"},
		{"wait50", "mean", "wait_50_ms"}, {"wait99", "mean", "wait_99_ms"}, {"msg/req", "mean", "messages_per_req"},
		{"us/req", "mean", "cpu_us_per_req"},
	}
	walks = []column{
		{"holders", "mean", "holders"}, {"overlaps", "worst", "overlaps"}, {"walked", "mean", "walked"}, {"w.least", "least", "walked"},
		{"walking", "worst", "walking"}, {"none ms", "mean", "no_holder_ms"}, {"msg/s", "mean", "lease_messages_per_s"},
		{"served", "mean", "served"}, {"refused", "mean", "refused"}, {"failed", "mean", "failed"}, {"us/req", "mean", "cpu_us_per_req"},
	}
	leases = []column{
		{"holders", "mean", "holders"}, {"overlaps", "worst", "overlaps"}, {"falls", "worst", "token_falls"},
		{"acts", "mean", "acts"}, {"none ms", "mean", "no_holder_ms"}, {"p99 ms", "p99", "no_holder_worst_ms"},
		{"worst ms", "worst", "no_holder_worst_ms"}, {"msg/s", "mean", "lease_messages_per_s"},
		{"B/s", "mean", "lease_bytes_per_s"}, {"busiest", "mean", "lease_busiest_per_s"},
		{"served", "mean", "served"}, {"refused", "mean", "refused"}, {"failed", "mean", "failed"}, {"dead", "mean", "dead"},
		{"dropped", "mean", "dropped"}, {"msg/req", "mean", "messages_per_req"}, {"us/req", "mean", "cpu_us_per_req"},
	}
)

// Table lists the outcomes, a case a line.
func Table(list []Outcome) string {
	columns := stores
	for _, o := range list {
		if o.Least["near"] < o.Least["fetches"] {
			columns = zones
		}
		if o.Worst["acts"] > 0 {
			columns = leases
		}
	}
	if len(list) > 0 && list[0].Worst["periods"] > 0 {
		columns = uses
	}
	if len(list) > 0 && list[0].Worst["walked"] > 0 {
		columns = walks
	}
	width := 4
	for _, o := range list {
		width = max(width, len(o.Case))
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%-*s %5s", width, "case", "runs")
	for _, c := range columns {
		fmt.Fprintf(&b, " %8s", c.head)
	}
	b.WriteByte('\n')
	for _, o := range list {
		fmt.Fprintf(&b, "%-*s %5d", width, o.Case, o.Runs)
		for _, c := range columns {
			v := map[string]map[string]float64{"mean": o.Mean, "worst": o.Worst, "p99": o.P99, "least": o.Least}[c.of][c.name]
			if math.Abs(v) >= 1000 {
				fmt.Fprintf(&b, " %8.0f", v)
			} else {
				fmt.Fprintf(&b, " %8.2f", v)
			}
		}
		b.WriteByte('\n')
	}
	return b.String()
}
