package reducer

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lemongate"
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

var testSettings = lemongate.Settings{
	Gateways: 2, Zone: "a", Tick: 2 * time.Millisecond,
	Classes: []lemongate.Class{
		{Name: "read", Effect: lemongate.Safe, Aim: 700 * time.Millisecond, Deadline: 2 * time.Second, Worth: 2},
		{Name: "post", Effect: lemongate.Keyed, Group: lemongate.GroupAll, Window: 3 * time.Second,
			Aim: time.Second, Deadline: 5 * time.Second, Worth: 3},
		{Name: "once", Effect: lemongate.Unsafe, Aim: time.Second, Deadline: 3 * time.Second, Worth: 1},
	},
	Plans:       []lemongate.Plan{{Name: "small", Rate: 5, Burst: 20, Price: 1}},
	MaxAttempts: 3, MayCancel: true, MayProbe: true, MayTell: true, PeerInPerSec: 40,
	MaxRetryAfter: time.Second, DrainGrace: 250 * time.Millisecond, ReportFields: []string{"util"},
	ColdFrom: 0.2, WarmWithin: 10 * time.Second, FallMultiple: 4, FallWithin: time.Second,
}

// model is what an onlooker knows of client sessions and fetches.
type model struct {
	t       *rapid.T
	r       *Reducer
	now     time.Duration
	open    map[ReqID]time.Duration // reqs owed an answer, and their deadlines
	out     []FetchID               // fetches out
	starts  map[ReqID]int
	live    map[string]bool
	timer   time.Duration
	calls   map[ReqID]string // ids of the reqs that are open
	once    map[ReqID]bool   // reqs that may not run twice
	ran     map[ReqID]bool   // reqs that may have run
	left    ReqID            // its client left in this step
	done    ReqID            // its fetch ended Done in this step
	clash   ReqID            // it came in this step, under the id of one that is open
	exit    bool
	lastReq ReqID
}

func (m *model) step(ev Event) { m.see(m.r.Step(m.now, ev)) }

func (m *model) see(effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Answer:
			clash := e.Kind == Clashed // for a req that came under an open id, and only then
			if _, owed := m.open[e.Req]; !owed || (e.Kind == Served) != (e.Req == m.done) || clash != (e.Req == m.clash) {
				m.t.Fatalf("answer %+v: owed %v, served now %v", e, owed, m.done)
			}
			if e.Kind == Refused && m.once[e.Req] && (m.ran[e.Req] || m.outFor(e.Req)) {
				m.t.Fatalf("answer %+v: it may run", e)
			}
			delete(m.open, e.Req)
		case StartFetch:
			deadline, owed := m.open[e.Fetch.Req]
			fits := e.Fetch.Attempt == m.starts[e.Fetch.Req] && e.Fetch.Attempt < testSettings.MaxAttempts
			if !owed || !fits || !m.live[e.Backend] || e.Wait <= 0 || m.now+e.Wait >= deadline {
				m.t.Fatalf("fetch %+v: owed %v, start %d", e, owed, m.starts[e.Fetch.Req])
			}
			if m.once[e.Fetch.Req] && (m.ran[e.Fetch.Req] || m.outFor(e.Fetch.Req)) {
				m.t.Fatalf("fetch %+v: it may have run, or may run", e)
			}
			m.starts[e.Fetch.Req]++
			m.out = append(m.out, e.Fetch)
		case StopFetch:
			m.drop(e.Fetch)
			m.ran[e.Fetch.Req] = true
		case WithdrawFetch:
			if !slices.Contains(m.out, e.Fetch) || e.Fetch.Req != m.left {
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
func (m *model) outFor(id ReqID) bool {
	return slices.ContainsFunc(m.out, func(f FetchID) bool { return f.Req == id })
}

// taken tells whether an open req, or one with a fetch out, has an id.
func (m *model) taken(id string) bool {
	for q := range m.open {
		if m.calls[q] == id {
			return true
		}
	}
	for _, f := range m.out {
		if m.calls[f.Req] == id {
			return true
		}
	}
	return false
}

func (m *model) drop(id FetchID) {
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
		m.step(Ticked{})
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
			t: t, now: time.Hour, open: map[ReqID]time.Duration{}, starts: map[ReqID]int{}, calls: map[ReqID]string{},
			live: map[string]bool{"b1": true, "b2": true}, once: map[ReqID]bool{}, ran: map[ReqID]bool{},
		}
		set := testSettings
		set.MayCancel = rapid.Bool().Draw(t, "may cancel")
		known := []Entry{{lemongate.Backend{ID: "b1", Zone: "a"}, "h:1"}, {lemongate.Backend{ID: "b2", Zone: "a"}, "h:2"}}
		var first []Effect
		m.r, first = New(m.now, Config{Settings: set, Seed: 1, Known: known})
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
				m.open[m.lastReq], m.once[m.lastReq] = m.now+budget, class.Effect == lemongate.Unsafe
				m.step(&Arrived{At: m.now, CallID: call, Request: lemongate.Request{
					ID: m.lastReq, Class: class.Name, Plan: "small", Units: 1, Budget: budget, Spread: 1,
					Customer: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "customer"),
				}})
			},
			"end": func(t *rapid.T) {
				if len(m.out) == 0 {
					t.Skip("none out")
				}
				id := rapid.SampledFrom(m.out).Draw(t, "fetch")
				result := lemongate.Result(rapid.IntRange(0, int(lemongate.Broken)).Draw(t, "result"))
				m.drop(id)
				m.ran[id.Req] = m.ran[id.Req] || !result.NeverRan()
				if _, owed := m.open[id.Req]; owed && result == lemongate.Done {
					m.done = id.Req
				}
				m.step(&FetchEnded{Fetch: id, Result: result, Report: []float64{0.5}, Spoilt: result == lemongate.Broken})
			},
			"late end": func(t *rapid.T) { // of a fetch that was never made or has ended
				m.step(&FetchEnded{Fetch: FetchID{m.lastReq + 1, 0}, Result: lemongate.Done})
			},
			"leave": func(t *rapid.T) {
				m.left = ReqID(rapid.Uint64Range(0, uint64(m.lastReq)+1).Draw(t, "req"))
				m.step(&Left{Req: m.left})
			},
			"list": func(t *rapid.T) {
				id := rapid.SampledFrom([]string{"b1", "b2", "b3"}).Draw(t, "backend")
				state := lemongate.BackendState(rapid.IntRange(0, 2).Draw(t, "state"))
				m.live[id] = state == lemongate.Live
				started := time.Duration(rapid.IntRange(0, 1).Draw(t, "cold")) * m.now
				e := Entry{lemongate.Backend{ID: id, Zone: "a", State: state, Started: started}, "h:9"}
				m.step(&Listed{Kind: lemongate.ListChanges, Entries: []Entry{e}})
			},
			"malformed": func(t *rapid.T) { // what is no req costs a count and no more
				m.step(Malformed{Cause: Cause(rapid.IntRange(0, int(nCauses)-1).Draw(t, "cause"))})
			},
			"hear": func(t *rapid.T) {
				m.step(&Heard{rapid.IntRange(-1, 2).Draw(t, "from"), rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "data")})
			},
			"reload": func(t *rapid.T) { // moves the watch at most: no fetch, no answer, no backend
				if rapid.Bool().Draw(t, "asked") {
					m.step(ReloadAsked{})
					return
				}
				m.step(&Reloaded{Discovery: rapid.SampledFrom([]string{"d:1", "d:2"}).Draw(t, "discovery")})
			},
			"pass": func(t *rapid.T) {
				m.pass(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			},
		})
		m.step(Terminated{})
		m.pass(6 * time.Second)
		m.check(t)
		m.step(FrontClosed{})
		if len(m.open) > 0 || len(m.r.reqs) > len(m.out) || m.r.Phase() != Stopped || !m.exit {
			t.Fatalf("left at the end: %d reqs owed, %d kept, phase %v", len(m.open), len(m.r.reqs), m.r.Phase())
		}
	})
}
