package processharness

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"lemongate/internal/simulation"
)

// This file runs a scenario of the simulation on processes: the same limiters, customers, backends and faults, in
// real time.

const (
	// settlePeriods is the number of usage periods to wait after the last request: by then all usage has been reported.
	settlePeriods = 3
	// clockRateVariable is the environment variable that sets the rate of a limiter's clock.
	clockRateVariable = "LEMONGATE_LAB_CLOCK"
)

// tierRun is a run of a scenario on processes.
type tierRun struct {
	*Tier
	scenario  simulation.Scenario
	random    *rand.Rand
	startedAt time.Time
	customers []customer
	result    simulation.Result

	stop   chan struct{} // closed at the end of the scenario
	faults sync.WaitGroup

	mu        sync.Mutex
	processes []*Process   // by limiter; nil for one that is down
	outages   [][]interval // by limiter; the times at which it was down or stopped
}

// interval is the time from one instant to another. It has not ended while to is zero.
type interval struct{ from, to time.Time }

// CheckSupported returns the reason why a fault cannot be injected on processes, nil if it can.
func CheckSupported(f simulation.Fault) error {
	switch {
	case f.Kind == simulation.FaultHotRestart || f.Kind == simulation.FaultRollingRestart:
		return fmt.Errorf("kind: %q is not supported on processes; see cmd/lemongate", f.Kind)
	case f.Kind == simulation.FaultBackendUnresponsive || f.Zone > 0:
		return errors.New("kind: unresponsive backends and zones are supported in virtual time only")
	case f.Kind == simulation.FaultClock && (f.At > 0 || f.Role != ""):
		return errors.New("at_s: the clock rate of a process is set when it starts")
	}
	return nil
}

// RunScenario runs a scenario once, with limiters that are started with the command program.
func RunScenario(h Host, sc simulation.Scenario, seed uint64, program ...string) simulation.Result {
	usageDir := h.TempDir()
	if sc.Leases != nil {
		program = append(slices.Clone(program), "--operator", writeOperatorFile(h, sc.Leases, usageDir))
	}
	r := newTierRun(h, sc, seed, program)
	r.startProcesses()
	units := r.check(r.runTraffic())
	if sc.Leases != nil && sc.Leases.UsagePeriod > 0 {
		time.Sleep(milliseconds(settlePeriods * sc.Leases.UsagePeriod))
		r.checkUsage(usageDir, units)
	}
	return r.result
}

// newTierRun returns a run whose limiters are not started yet.
func newTierRun(h Host, sc simulation.Scenario, seed uint64, program []string) *tierRun {
	r := &tierRun{
		Tier:      New(h, sc.Limiters, sc.Backends.Count, program...),
		scenario:  sc,
		random:    rand.New(rand.NewPCG(seed, 11)),
		stop:      make(chan struct{}),
		processes: make([]*Process, sc.Limiters),
		outages:   make([][]interval, sc.Limiters),
	}
	r.ReportUtilization = true
	r.Plans = nil
	for _, p := range sc.Plans {
		r.Plans = append(r.Plans, Plan{
			Name: p.Name, Rate: p.Rate, Burst: p.Burst, CeilingRate: p.CeilingRate, CeilingBurst: p.CeilingBurst,
			MaxConcurrent: p.MaxConcurrent,
		})
	}
	for _, b := range r.Backends {
		b.SetDelay(milliseconds(sc.Backends.Work))
	}
	r.setClocks()
	r.restoreNetwork()
	return r
}

// setClocks sets the rates of the limiters' clocks.
func (r *tierRun) setClocks() {
	for _, f := range r.scenario.Faults {
		if f.Kind != simulation.FaultClock {
			continue
		}
		for _, n := range f.Limiters {
			l := r.Limiters[n]
			l.Env = append(l.Env, fmt.Sprintf("%s=%g", clockRateVariable, f.Rate))
		}
	}
}

// startProcesses starts all limiters, and waits until they accept clients.
func (r *tierRun) startProcesses() {
	for i, l := range r.Limiters {
		r.processes[i] = l.Start()
	}
	for _, p := range r.processes {
		p.AwaitHealthy(r.Host)
	}
}

// runTraffic sends requests and injects the faults for the duration of the scenario.
func (r *tierRun) runTraffic() []Result {
	r.startedAt = time.Now()
	load := r.startLoad()
	load.EnableResend()
	for _, f := range r.scenario.Faults {
		r.faults.Go(func() { r.scheduleFault(f) }) // ends when r.stop is closed
	}
	r.sleep(seconds(r.scenario.Seconds))
	close(r.stop)
	r.faults.Wait()
	results := load.End()
	r.result.Resent = load.Resent
	return results
}

// sleep waits for a duration and returns true. It returns false as soon as the scenario ends.
func (r *tierRun) sleep(d time.Duration) bool {
	select {
	case <-r.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// writeOperatorFile writes the operators' file of a scenario, and returns the path.
func writeOperatorFile(h Host, leases *simulation.Leases, usageDir string) string {
	file := map[string]any{"leases": map[string]any{
		"on": true, "tasks": leases.Tasks, "length_ms": int(leases.Duration), "keepers": leases.AcceptorCount,
	}}
	if leases.UsagePeriod > 0 {
		file["rollup"] = map[string]any{"dir": usageDir, "period_s": int(leases.UsagePeriod / 1000)}
	}
	data, err := json.Marshal(file)
	if err != nil {
		h.Fatal(err)
	}
	path := filepath.Join(h.TempDir(), "operator.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		h.Fatal(err)
	}
	return path
}

// milliseconds converts a number of milliseconds to a Duration.
func milliseconds(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// seconds converts a number of seconds to a Duration.
func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
