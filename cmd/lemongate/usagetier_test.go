package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"lemongate/internal/processharness"
	"lemongate/internal/usage"
)

// While the directory of usage reports is not available, for longer than a lease lasts, no usage is lost: it is in later
// reports, once.
func TestUsageWhileDirectoryUnavailable(t *testing.T) {
	const requestsPerSecond, outage, settlePeriods = 200, 3 * usagePeriod, 4
	dir := t.TempDir() + "/usage"
	if err := os.Mkdir(dir, 0o755); err != nil {
		t.Fatal(err)
	}
	tier := newTierWithUsage(t, dir)
	processes := startAll(t, tier)
	load := tier.StartLoad(requestsPerSecond, func(n int) processharness.Request {
		return processharness.Request{Limiter: n % 3, Class: "read", Plan: "free", Customer: uint64(n % 30), SetSize: 3}
	})
	time.Sleep(2 * usagePeriod)
	if err := os.Rename(dir, dir+"-unavailable"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(outage)
	if err := os.Rename(dir+"-unavailable", dir); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * usagePeriod)
	results := load.End()
	time.Sleep(settlePeriods * usagePeriod)
	hasFailed := func(p *processharness.Process) bool { return p.HasLogged("writing the usage report failed") }
	if !slices.ContainsFunc(processes, hasFailed) {
		t.Error("no write of a report failed, want at least one")
	}
	checkUsage(t, tier, dir, 1)
	t.Logf("%d requests", len(results))
}

// usagePeriod is the shortest period that the operators' file allows.
const usagePeriod = time.Second

// newTierWithUsage creates a tier of three limiters with hot restart enabled that write usage reports into dir.
func newTierWithUsage(t *testing.T, dir string) *processharness.Tier {
	t.Helper()
	tier := newTier(t, 3, 4)
	text := fmt.Sprintf(`{"takeover":{"on":true,"silence_ms":300},"leases":{"on":true,"length_ms":1000,"keepers":3,"tasks":["rollup"]},
		"rollup":{"dir":%q,"period_s":%d}}`, dir, int(usagePeriod.Seconds()))
	operator := t.TempDir() + "/operator.json"
	if err := os.WriteFile(operator, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	tier.Program[len(tier.Program)-1] = operator
	return tier
}

// checkUsage compares the usage in the files of a directory, of which there are minFiles at least, with the requests that
// reached backends, each of which consumes one unit.
func checkUsage(t *testing.T, tier *processharness.Tier, dir string, minFiles int) {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(dir, "*.jsonl"))
	if err != nil || len(paths) < minFiles {
		t.Fatalf("got usage files %v, %v; want at least %d", paths, err, minFiles)
	}
	var reports []usage.Report
	for _, path := range paths {
		inFile, faults, err := readUsageFile(path)
		if err != nil || len(faults) > 0 {
			t.Fatalf("usage file has faults %q, error %v; want none", faults, err)
		}
		reports = append(reports, inFile...)
	}
	summary := usage.Merge(reports)
	reported := 0.0
	for _, u := range summary.Usage {
		reported += u.Units
	}
	byID, _ := tier.Attempts()
	t.Logf("%.0f units reported, %d requests reached backends, %d periods in %d usage files, faults %q", reported, len(byID), len(summary.Reports), len(paths), summary.Faults)
	if reported != float64(len(byID)) {
		t.Errorf("%.0f units reported, want one for each of the %d requests that reached backends", reported, len(byID))
	}
}
