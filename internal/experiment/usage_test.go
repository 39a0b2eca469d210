package experiment

import (
	"os"
	"testing"

	"lemongate/internal/simulation"
)

// A successor reports the usage that it inherited and is killed during its probation. The predecessor, which then admits
// requests again, must not report that usage once more.
func TestFailedHotRestartReportsUsageOnce(t *testing.T) {
	const (
		seed              = 5 // of six seeds, the one whose runs showed usage reported twice
		maxDuplicateUnits = 1 // as in the experiments on usage
	)
	data, err := os.ReadFile("../../experiments/rollup.json")
	if err != nil {
		t.Fatal(err)
	}
	x, err := Parse(data)
	if err != nil {
		t.Fatal(err)
	}
	scenario, err := x.scenario(x.Cases[0])
	if err != nil {
		t.Fatal(err)
	}
	scenario.Seconds = 40
	scenario.Leases.UsagePeriod = 8000
	for _, at := range []float64{14, 15, 16, 17, 18, 19, 20, 21} {
		scenario.Faults = []simulation.Fault{{
			Kind: simulation.FaultHotRestart, At: at, Limiters: []int{0, 1, 2, 3, 4}, KilledProcess: simulation.Successor, Down: 3,
		}}
		r := simulation.Run(scenario, seed)
		if r.UsageOver > maxDuplicateUnits || r.UsageDuplicates > 0 {
			t.Errorf("hot restarts at %v s: %.0f units reported too many, want at most 1; %d periods in two reports, want 0", at, r.UsageOver, r.UsageDuplicates)
		}
	}
}

// A network partition cuts off the lease holder while it has a period that it collected from itself alone. The others
// report that period without its usage, and the lease then passes to another holder once more. No usage may be lost.
func TestCutOffHolderLosesNoUsage(t *testing.T) {
	const (
		seed            = 700001
		caseName        = "one limiter is cut off for five periods"
		maxMissingUnits = 8 // as in the experiment: units that are at backends when the run ends
	)
	data, err := os.ReadFile("../../experiments/rollup.json")
	if err != nil {
		t.Fatal(err)
	}
	x, err := Parse(data)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range x.Cases {
		if c.Name != caseName {
			continue
		}
		scenario, err := x.scenario(c)
		if err != nil {
			t.Fatal(err)
		}
		r := simulation.Run(x.withShiftedFaults(scenario, seed), seed)
		if r.UsageUnder > maxMissingUnits || r.UsageOver > 1 || r.UsageDuplicates > 0 {
			t.Errorf("%.0f units missing in the reports, want at most 8; %.0f too many, want at most 1; %d periods in two reports, want 0", r.UsageUnder, r.UsageOver, r.UsageDuplicates)
		}
		return
	}
	t.Fatalf("experiment rollup has no case %q", caseName)
}
