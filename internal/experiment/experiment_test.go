package experiment

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// smallExperiment is an experiment whose runs take a few milliseconds.
const smallExperiment = `{"name": "small", "scenario": {"limiters": 3, "seconds": 4,
	"plans": [{"name": "p", "rate": 5, "burst": 10, "customers": 2, "times": 3}],
	"traffic": {"busiest": 0.8, "moves_s": 1, "units": [1], "deadline_ms": 1000},
	"backends": {"count": 3, "cores": 2, "work_ms": 20, "queue": 10},
	"network": {"delay_min_ms": 1, "delay_max_ms": 9, "loss": 0.1, "in_per_s": 40}},
	"cases": [{"name": "one case", "expect": [{"measure": "beyond", "most": 100}]}]}`

func TestExperimentFilesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../experiments/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d experiment files, error %v", len(files), err)
	}
	for _, path := range files {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(data); err != nil {
			t.Errorf("%s: %v", path, err)
		}
	}
}

// The error of an invalid file is one line that names the field.
func TestParseErrorNamesTheField(t *testing.T) {
	for _, c := range []struct{ replaced, replacement, wantField string }{
		{`"limiters": 3`, `"limiters": 0`, "/scenario/limiters"},
		{`"limiters": 3`, `"limiters": "3"`, "/scenario/limiters"},
		{`"rate": 5`, `"rat": 5`, "/scenario/plans/0"},
		{`"loss": 0.1`, `"loss": 1.1`, "/scenario/network/loss"},
		{`"beyond"`, `"beyondd"`, "/cases/0/expect/0"},
		{`, "most": 100`, ``, "/cases/0/expect/0"},
		{`"name": "one case"`, `"name": "one case", "faults": [{"kind": "fire", "at_s": 1}]`, "/cases/0/faults/0/kind"},
		{`"name": "one case"`, `"name": "one case", "faults": [{"kind": "stall", "at_s": 1, "limiters": [3]}]`, "/cases/0/faults/0"},
		{`{"name": "small"`, `{"name": "small`, "JSON"},
	} {
		text := strings.Replace(smallExperiment, c.replaced, c.replacement, 1)
		_, err := Parse([]byte(text))
		if err == nil || !strings.Contains(err.Error(), c.wantField) || strings.Contains(err.Error(), "\n") {
			t.Errorf("with %s in place of %s: error %v, want one line with %s", c.replacement, c.replaced, err, c.wantField)
		}
	}
}

// The same seed gives the same run, and a bound that is missed gives the verdict "broken".
func TestVerdict(t *testing.T) {
	x, err := Parse([]byte(smallExperiment))
	if err != nil {
		t.Fatal(err)
	}
	a, b := x.Run(1, 3), x.Run(1, 3)
	for _, list := range [][]Outcome{a, b} {
		for _, m := range []map[string]float64{list[0].Mean, list[0].Worst, list[0].P99, list[0].Min} {
			delete(m, "cpu_us_per_req")
		}
	}
	if !reflect.DeepEqual(a, b) {
		t.Errorf("two runs of the same seeds differ:\n%+v\n%+v", a, b)
	}
	if line, held := Verdict(a); !held || line != "verdict: held" || a[0].Mean["served"] < 20 {
		t.Errorf("%q, %.0f requests served; want \"verdict: held\" and at least 20 requests served", line, a[0].Mean["served"])
	}
	most := 1.0
	x.Cases[0].Expect = []Bound{{Measure: "served", Max: &most}}
	if line, held := Verdict(x.Run(1, 1)); held || !strings.HasPrefix(line, "verdict: broken: one case: mean served") {
		t.Error(line)
	}
}

// An experiment with a limit of attempts in flight has its own measures and columns.
func TestSlotMeasures(t *testing.T) {
	text := strings.Replace(strings.Replace(smallExperiment, `"customers": 2`, `"concurrency": 3, "customers": 2`, 1),
		`{"measure": "beyond", "most": 100}`, `{"measure": "slots_probed", "over": "each", "least": 7}`, 1)
	x, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	outcomes := x.Run(1, 2)
	if line, held := Verdict(outcomes); held || line != "verdict: broken: one case: slots_probed 6.00, at least 7" {
		t.Error(line)
	}
	if table := Table(outcomes); !strings.Contains(table, "o.worst") || !strings.Contains(table, "unusable") {
		t.Error(table)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(smallExperiment))
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := Parse(data); err != nil && strings.Contains(err.Error(), "\n") {
			t.Errorf("the error has more than one line: %q", err)
		}
	})
}
