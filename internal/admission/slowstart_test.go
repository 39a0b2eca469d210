package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// A backend that has just started gets a fraction of the requests of a warm backend, which grows while it warms up.
func TestSlowStart(t *testing.T) {
	f := newFixture(t, testSettings(), backendList("a", "b", "c", "d")...)
	respond := func(StartAttempt) (Result, time.Duration) { return Succeeded, 90 * ms }
	f.serve(300, respond)
	f.handle(&EndpointList{Kind: ListDelta, Backends: []Backend{{ID: "a", Zone: "north", StartedAt: f.now}}})
	if attempts := f.serve(200, respond); attempts["a"] > 25 {
		t.Errorf("just after its start, one of four backends got %d of 200 attempts, want at most 25", attempts["a"])
	}
	if attempts := f.serve(800, respond); attempts["a"] == 0 || attempts["a"] > 200 {
		t.Errorf("while warming up, one of four backends got %d of 800 attempts, want 1 to 200", attempts["a"])
	}
	if attempts := f.serve(200, respond); attempts["a"] < 17 { // a third of an even share
		t.Errorf("when warm, one of four backends got %d of 200 attempts, want at least 17", attempts["a"])
	}
}

// If all backends start at once, there is no warm backend to estimate the capacity from, and the limiter forwards less
// than before.
func TestSlowStartOfAllBackends(t *testing.T) {
	f := newFixture(t, testSettings(), backendList("a", "b", "c", "d")...)
	respond := func(StartAttempt) (Result, time.Duration) { return Succeeded, 30 * ms }
	f.serve(300, respond)
	list := backendList("a", "b", "c", "d")
	for i := range list {
		list[i].StartedAt = f.now
	}
	f.handle(&EndpointList{Kind: ListComplete, Backends: list})
	forwarded := 0
	for _, attempts := range f.serve(100, respond) {
		forwarded += attempts
	}
	if forwarded == 0 || forwarded > 60 {
		t.Errorf("%d of 100 requests forwarded while all backends are starting, want 1 to 60", forwarded)
	}
}

// A backend that is warming up and observed to be idle gets more than its minimum share, yet far less than overloads it;
// one that is observed to be busy does not get more.
func TestIdleBackendThatWarmsUpGetsMore(t *testing.T) {
	const trials, choicesPerRequest, usableBackends = 20000, 1, 10
	settings := testSettings()
	settings.Limiters = 80
	list := backendList("a", "b", "c", "d", "e", "f", "g", "h", "i", "j")
	fractionOfFairShare := func(relativeLoad float64) float64 {
		f := newFixture(t, settings, list...)
		f.now += time.Hour
		restarted := slices.Clone(list)
		restarted[0].StartedAt = f.now
		f.handle(&EndpointList{Kind: ListComplete, Backends: restarted})
		b := f.ctl.endpoints.byID["a"]
		_, capacity := f.ctl.usableSubset()
		admitted := 0
		for range trials {
			b.observedAt, b.relativeLoad = f.now, relativeLoad
			if f.ctl.admitsWarmingUp(b, choicesPerRequest, usableBackends, capacity) {
				admitted++
			}
		}
		return float64(admitted) / trials / usableBackends / f.ctl.warmUpFraction(b) * capacity
	}
	idle, busy := fractionOfFairShare(0.25), fractionOfFairShare(2)
	if idle < 1.8 || idle > 2.5 || busy > 1 {
		t.Errorf("fraction of its fair share %.2f if idle, want 1.8 to 2.5; %.2f if busy, want at most 1", idle, busy)
	}
}

// warmUpScenario is a tier of limiters, some of whose backends start.
type warmUpScenario struct {
	name             string
	limiters         int
	startingBackends int
	// startSpread is the time in which they start one after the other, under new IDs; 0 for all at once, under the same
	// IDs.
	startSpread time.Duration
}

// The limiters together do not overload a backend that is warming up: a zone with 20 of 60 backends starts at once, or 36
// backends are replaced within 7 s. Some limiters get the endpoint list late, some have just restarted.
func TestSlowStartOverAllLimiters(t *testing.T) {
	for _, scenario := range []warmUpScenario{
		{"zone starts", 80, 20, 0},
		{"replaced", 80, 36, 7 * time.Second},
		{"zone starts", 20, 20, 0},
		{"zone starts", 1, 20, 0},
		{"zone starts", 2, 20, 0},
		{"replaced", 1, 36, 7 * time.Second},
		{"replaced", 3, 36, 7 * time.Second},
		{"zone starts", 3, 20, 0},
		{"zone starts", 300, 20, 0},
		{"replaced", 300, 36, 7 * time.Second},
	} {
		run := newWarmUpRun(scenario)
		for run.now = warmUpStartTime; run.now < warmUpStartTime+12*time.Second; run.now += 2 * ms {
			run.updateLists()
			run.deliverResults()
			if run.random.IntN(500*1000/warmUpRequestsPerSecond) < 1000 {
				run.request()
			}
		}
		for i := range scenario.startingBackends {
			run.checkOverload(t, i)
		}
	}
}

const (
	warmUpBackends          = 60
	warmUpRequestsPerSecond = 600
	warmUpStartTime         = time.Hour
	warmUpLatency           = 150 * ms
	warmUpInitialFraction   = 0.17 // fraction of its capacity that a backend has at its start
	warmUpDuration          = 17 * time.Second
	warmUpOverload          = 4 // multiple of its capacity that overloads a backend
	warmUpOverloadDuration  = 1500 * ms
	// warmUpCapacity is the rate that a warm backend can serve; its load is 60 percent of it.
	warmUpCapacity = warmUpRequestsPerSecond / warmUpBackends / 0.6
)

// warmUpRun simulates the backends and clients of a warmUpScenario. The limiters send no messages to each other.
type warmUpRun struct {
	scenario    warmUpScenario
	settings    Settings
	random      *rand.Rand
	now         time.Duration
	controllers []*Controller
	listDelays  []time.Duration // of the endpoint list, by limiter
	backends    []Backend       // before any of them restarts
	startsAt    []time.Duration // clock times of the backends that start, which are the first ones
	results     []limiterResult // in the order in which they are due
	attempts    map[string][]time.Duration
	nextID      RequestID
}

// limiterResult is the result of an attempt of a limiter, and the clock time at which it is delivered.
type limiterResult struct {
	at      time.Duration
	limiter int
	result  *AttemptFinished
}

func newWarmUpRun(scenario warmUpScenario) *warmUpRun {
	run := &warmUpRun{
		scenario: scenario, settings: testSettings(), random: rand.New(rand.NewPCG(11, uint64(scenario.limiters))),
		attempts: map[string][]time.Duration{},
	}
	run.settings.Limiters, run.settings.GossipEnabled = scenario.limiters, false
	run.settings.LoadReportFields = []string{"latency_ms", "util"}
	run.settings.SlowStartFraction, run.settings.SlowStartDuration = warmUpInitialFraction, warmUpDuration
	for i := range warmUpBackends {
		run.backends = append(run.backends, Backend{ID: fmt.Sprintf("b%02d", i), Zone: "a"})
	}
	for i := range scenario.startingBackends {
		run.startsAt = append(run.startsAt, warmUpStartTime+time.Duration(i)*scenario.startSpread/time.Duration(scenario.startingBackends))
	}
	for number := range scenario.limiters {
		ctl := run.newController(number, uint64(number))
		ctl.Handle(warmUpStartTime-time.Minute, &EndpointList{Kind: ListComplete, Backends: run.backends}, nil)
		run.controllers = append(run.controllers, ctl)
		run.listDelays = append(run.listDelays, time.Duration(run.random.IntN(1000))*ms)
	}
	return run
}

// newController returns the Controller of a limiter, without state.
func (run *warmUpRun) newController(number int, seed uint64) *Controller {
	run.settings.Self = number
	return New(run.settings, seed)
}

// startedID returns the ID of a backend after its start.
func (run *warmUpRun) startedID(i int) string {
	if run.scenario.startSpread > 0 {
		return fmt.Sprintf("new%02d", i)
	}
	return run.backends[i].ID
}

// backendsAt returns the endpoint list at a clock time.
func (run *warmUpRun) backendsAt(at time.Duration) []Backend {
	list := slices.Clone(run.backends)
	for i, startsAt := range run.startsAt {
		if at >= startsAt {
			list[i].ID, list[i].StartedAt = run.startedID(i), startsAt
		}
	}
	return list
}

// updateLists passes the endpoint list to each limiter, ten times per second and with the delay of the limiter. After
// 2 s, one limiter in eight restarts.
func (run *warmUpRun) updateLists() {
	elapsed := run.now - warmUpStartTime
	if elapsed%(100*ms) != 0 {
		return
	}
	for number, delay := range run.listDelays {
		if elapsed <= delay {
			continue
		}
		if elapsed == 2*time.Second && number%8 == 0 {
			run.controllers[number] = run.newController(number, uint64(1000+number))
		}
		list := &EndpointList{Kind: ListComplete, Backends: run.backendsAt(run.now - delay)}
		run.controllers[number].Handle(run.now, list, nil)
	}
}

// request passes a request to a random limiter.
func (run *warmUpRun) request() {
	run.nextID++
	number := run.random.IntN(run.scenario.limiters)
	run.handle(number, &Request{
		ID: run.nextID, Class: "read", Plan: "free", Customer: "x", Units: 1, Budget: time.Second,
		SetSize: 1, FirstLimiter: number,
	})
}

// deliverResults passes the results that are due.
func (run *warmUpRun) deliverResults() {
	for len(run.results) > 0 && run.results[0].at <= run.now {
		due := run.results[0]
		run.handle(due.limiter, due.result)
		run.results = run.results[1:]
	}
}

// handle passes an event to a limiter, and schedules a success after warmUpLatency for each attempt that it starts.
func (run *warmUpRun) handle(number int, ev Event) {
	for _, attempt := range actionsOf[StartAttempt](run.controllers[number].Handle(run.now, ev, nil)) {
		run.attempts[attempt.Backend] = append(run.attempts[attempt.Backend], run.now)
		run.results = append(run.results, limiterResult{run.now + warmUpLatency, number, &AttemptFinished{
			Request: attempt.Request, Backend: attempt.Backend, Result: Succeeded, Latency: warmUpLatency, Final: true,
			Report: []float64{100, 0.1},
		}})
	}
}

// checkOverload checks that the attempts at a backend in the 8 s after its start do not overload it.
func (run *warmUpRun) checkOverload(t *testing.T, i int) {
	t.Helper()
	startedAt := run.startsAt[i]
	for from := startedAt; from < startedAt+8*time.Second; from += 100 * ms {
		attempts := 0
		for _, at := range run.attempts[run.startedID(i)] {
			if at >= from && at < from+warmUpOverloadDuration {
				attempts++
			}
		}
		fraction := warmUpInitialFraction + (1-warmUpInitialFraction)*(from-startedAt).Seconds()/warmUpDuration.Seconds()
		limit := warmUpOverload * fraction * warmUpCapacity * warmUpOverloadDuration.Seconds()
		if float64(attempts) > limit {
			t.Fatalf("%s, %d limiters: %d attempts at %s in %v, starting %v after its start, but more than %.0f overload it",
				run.scenario.name, run.scenario.limiters, attempts, run.startedID(i), warmUpOverloadDuration, from-startedAt, limit)
		}
	}
}
