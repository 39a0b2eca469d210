package core

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lemongate/internal/admission"
)

// TestMain fixes the seed, so that the verdict is the same every time.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261201", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var testSettings = admission.Settings{
	Limiters: 2, Zone: "a", ClockResolution: 2 * time.Millisecond,
	Classes: []admission.Class{
		{Name: "read", Idempotency: admission.Idempotent, LatencyObjective: 700 * time.Millisecond, Deadline: 2 * time.Second, Weight: 2},
		{Name: "post", Idempotency: admission.IdempotentByKey, IdempotencyScope: admission.ScopeAll, IdempotencyWindow: 3 * time.Second,
			LatencyObjective: time.Second, Deadline: 5 * time.Second, Weight: 3},
		{Name: "once", Idempotency: admission.NonIdempotent, LatencyObjective: time.Second, Deadline: 3 * time.Second, Weight: 1},
	},
	Plans:       []admission.Plan{{Name: "small", Rate: 5, Burst: 20, WeightFactor: 1}},
	MaxAttempts: 3, MayCancel: true, MayProbe: true, GossipEnabled: true, PeerMessagesPerSecond: 40,
	MaxRetryAfter: time.Second, DrainGrace: 250 * time.Millisecond, LoadReportFields: []string{"util"},
	SlowStartFraction: 0.2, SlowStartDuration: 10 * time.Second, OverloadMultiple: 4, OverloadDuration: time.Second,
}

// model is what an onlooker knows of client sessions and fetches.
type model struct {
	t       *rapid.T
	r       *Machine
	now     time.Duration
	open    map[RequestID]time.Duration // reqs owed an answer, and their deadlines
	out     []AttemptID                 // fetches out
	starts  map[RequestID]int
	live    map[string]bool
	timer   time.Duration
	calls   map[RequestID]string // ids of the reqs that are open
	once    map[RequestID]bool   // reqs that may not run twice
	ran     map[RequestID]bool   // reqs that may have run
	left    RequestID            // its client left in this step
	done    RequestID            // its fetch ended Done in this step
	clash   RequestID            // it came in this step, under the id of one that is open
	exit    bool
	lastReq RequestID
}

func (m *model) step(ev Event) { m.see(m.r.Step(m.now, ev)) }

func (m *model) see(effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Respond:
			clash := e.Kind == DuplicateID // for a req that came under an open id, and only then
			if _, owed := m.open[e.Request]; !owed || (e.Kind == Served) != (e.Request == m.done) || clash != (e.Request == m.clash) {
				m.t.Fatalf("answer %+v: owed %v, served now %v", e, owed, m.done)
			}
			if e.Kind == Rejected && m.once[e.Request] && (m.ran[e.Request] || m.outFor(e.Request)) {
				m.t.Fatalf("answer %+v: it may run", e)
			}
			delete(m.open, e.Request)
		case StartAttempt:
			deadline, owed := m.open[e.Attempt.Request]
			fits := e.Attempt.Number == m.starts[e.Attempt.Request] && e.Attempt.Number < testSettings.MaxAttempts
			if !owed || !fits || !m.live[e.Backend] || e.Timeout <= 0 || m.now+e.Timeout >= deadline {
				m.t.Fatalf("fetch %+v: owed %v, start %d", e, owed, m.starts[e.Attempt.Request])
			}
			if m.once[e.Attempt.Request] && (m.ran[e.Attempt.Request] || m.outFor(e.Attempt.Request)) {
				m.t.Fatalf("fetch %+v: it may have run, or may run", e)
			}
			m.starts[e.Attempt.Request]++
			m.out = append(m.out, e.Attempt)
		case CancelAttempt:
			m.drop(e.Attempt)
			m.ran[e.Attempt.Request] = true
		case WithdrawAttempt:
			if !slices.Contains(m.out, e.Attempt) || e.Attempt.Request != m.left {
				m.t.Fatalf("withdrawn %+v, %d left", e, m.left)
			}
		case SetTimer:
			m.timer = e.At
		case Exit:
			m.exit = true
		}
	}
	if _, owed := m.open[m.left]; owed {
		m.t.Fatalf("the client of %d left, and it is not over", m.left)
	}
	m.done, m.clash, m.left = 0, 0, 0
}

// outFor tells whether a req has a fetch out.
func (m *model) outFor(id RequestID) bool {
	return slices.ContainsFunc(m.out, func(f AttemptID) bool { return f.Request == id })
}

// taken tells whether an open req, or one with a fetch out, has an id.
func (m *model) taken(id string) bool {
	for q := range m.open {
		if m.calls[q] == id {
			return true
		}
	}
	for _, f := range m.out {
		if m.calls[f.Request] == id {
			return true
		}
	}
	return false
}

func (m *model) drop(id AttemptID) {
	for i, f := range m.out {
		if f == id {
			m.out = append(m.out[:i], m.out[i+1:]...)
			return
		}
	}
	m.t.Fatalf("fetch %+v stopped, but not out", id)
}

// pass lets time go by, from timer to timer.
func (m *model) pass(by time.Duration) {
	for end := m.now + by; ; {
		if m.timer > end {
			m.now = end
			return
		}
		m.now = max(m.now, m.timer)
		m.timer = end + 1 // until the next SetTimer
		m.step(TimerFired{})
	}
}

func (m *model) check(*rapid.T) {
	for id, deadline := range m.open {
		if m.now >= deadline {
			m.t.Fatalf("req %d has no answer at its deadline", id)
		}
	}
}

// Whatever comes, every req gets one answer before its deadline, and fetches
// are only made while one is owed, to live backends, as often as allowed.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			t: t, now: time.Hour, open: map[RequestID]time.Duration{}, starts: map[RequestID]int{}, calls: map[RequestID]string{},
			live: map[string]bool{"b1": true, "b2": true}, once: map[RequestID]bool{}, ran: map[RequestID]bool{},
		}
		set := testSettings
		set.MayCancel = rapid.Bool().Draw(t, "may cancel")
		known := []Endpoint{{admission.Backend{ID: "b1", Zone: "a"}, "h:1"}, {admission.Backend{ID: "b2", Zone: "a"}, "h:2"}}
		var first []Effect
		m.r, first = New(m.now, Config{Settings: set, Seed: 1, KnownEndpoints: known})
		m.see(first)
		t.Repeat(map[string]func(*rapid.T){
			"": m.check,
			"arrive": func(t *rapid.T) {
				m.lastReq++
				class := rapid.SampledFrom(testSettings.Classes).Draw(t, "class")
				budget := time.Duration(rapid.IntRange(1, 3000).Draw(t, "budget")) * time.Millisecond
				call := rapid.SampledFrom([]string{"", "i", "j", "k"}).Draw(t, "id")
				if call != "" && m.taken(call) {
					m.clash = m.lastReq
				} else if call != "" {
					m.calls[m.lastReq] = call
				}
				m.open[m.lastReq], m.once[m.lastReq] = m.now+budget, class.Idempotency == admission.NonIdempotent
				m.step(&RequestReceived{ReceivedAt: m.now, CallID: call, Request: admission.Request{
					ID: m.lastReq, Class: class.Name, Plan: "small", Units: 1, Budget: budget, SetSize: 1,
					Customer: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "customer"),
				}})
			},
			"end": func(t *rapid.T) {
				if len(m.out) == 0 {
					t.Skip("none out")
				}
				id := rapid.SampledFrom(m.out).Draw(t, "fetch")
				result := admission.Result(rapid.IntRange(0, int(admission.ConnectionLost)).Draw(t, "result"))
				m.drop(id)
				m.ran[id.Request] = m.ran[id.Request] || !result.NeverRan()
				if _, owed := m.open[id.Request]; owed && result == admission.Succeeded {
					m.done = id.Request
				}
				m.step(&AttemptFinished{Attempt: id, Result: result, Report: []float64{0.5}, ResponseInvalid: result == admission.ConnectionLost})
			},
			"late end": func(t *rapid.T) { // of a fetch that was never made or has ended
				m.step(&AttemptFinished{Attempt: AttemptID{m.lastReq + 1, 0}, Result: admission.Succeeded})
			},
			"leave": func(t *rapid.T) {
				m.left = RequestID(rapid.Uint64Range(0, uint64(m.lastReq)+1).Draw(t, "req"))
				m.step(&ClientDisconnected{Request: m.left})
			},
			"list": func(t *rapid.T) {
				id := rapid.SampledFrom([]string{"b1", "b2", "b3"}).Draw(t, "backend")
				state := admission.BackendState(rapid.IntRange(0, 2).Draw(t, "state"))
				m.live[id] = state == admission.Live
				started := time.Duration(rapid.IntRange(0, 1).Draw(t, "cold")) * m.now
				e := Endpoint{admission.Backend{ID: id, Zone: "a", State: state, StartedAt: started}, "h:9"}
				m.step(&EndpointsUpdated{Kind: admission.ListDelta, Endpoints: []Endpoint{e}})
			},
			"malformed": func(t *rapid.T) { // what is no req costs a count and no more
				m.step(RequestMalformed{Cause: MalformedCause(rapid.IntRange(0, int(numCauses)-1).Draw(t, "cause"))})
			},
			"hear": func(t *rapid.T) {
				m.step(&PeerMessageReceived{rapid.IntRange(-1, 2).Draw(t, "from"), rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "data")})
			},
			"reload": func(t *rapid.T) { // moves the watch at most: no fetch, no answer, no backend
				if rapid.Bool().Draw(t, "asked") {
					m.step(ReloadRequested{})
					return
				}
				m.step(&ConfigReloaded{Discovery: rapid.SampledFrom([]string{"d:1", "d:2"}).Draw(t, "discovery")})
			},
			"pass": func(t *rapid.T) {
				m.pass(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			},
		})
		m.step(ShutdownRequested{})
		m.pass(6 * time.Second)
		m.check(t)
		m.step(ServerClosed{})
		if len(m.open) > 0 || len(m.r.requests) > len(m.out) || m.r.Phase() != Stopped || !m.exit {
			t.Fatalf("left at the end: %d reqs owed, %d kept, phase %v", len(m.open), len(m.r.requests), m.r.Phase())
		}
	})
}
