package core

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"lemongate/internal/admission"
	"lemongate/internal/gossip"
)

func entry(id, addr string, state admission.BackendState, started time.Duration) Endpoint {
	return Endpoint{admission.Backend{ID: id, Zone: "a", State: state, StartedAt: started}, addr}
}

func start(t *testing.T, entries ...Endpoint) *Machine {
	t.Helper()
	r, _ := New(time.Hour, Config{Settings: testSettings, Seed: 1, KnownEndpoints: entries})
	return r
}

// only picks the effects of one type.
func only[E Effect](effects []Effect) (list []E) {
	for _, e := range effects {
		if e, ok := e.(E); ok {
			list = append(list, e)
		}
	}
	return list
}

func read(id RequestID, at, budget time.Duration) *RequestReceived {
	return &RequestReceived{ReceivedAt: at, Request: admission.Request{
		ID: id, Class: "read", Plan: "small", Customer: "x", Units: 1, Budget: budget, FirstLimiter: 0, SetSize: 1,
	}}
}

// A connection of before a drain, a removal, a restart or a move must carry no
// new req; one that merely is told again keeps its connections.
func TestDroppedBackends(t *testing.T) {
	for name, c := range map[string]struct {
		kind admission.ListKind
		news []Endpoint
		want []CloseBackendConns
	}{
		"drains":    {admission.ListDelta, []Endpoint{entry("b1", "h:1", admission.Draining, 0)}, []CloseBackendConns{{"b1"}}},
		"removed":   {admission.ListDelta, []Endpoint{entry("b1", "", admission.Removed, 0)}, []CloseBackendConns{{"b1"}}},
		"restarted": {admission.ListDelta, []Endpoint{entry("b1", "h:1", admission.Live, time.Hour)}, []CloseBackendConns{{"b1"}}},
		"moved":     {admission.ListDelta, []Endpoint{entry("b1", "h:3", admission.Live, 0)}, []CloseBackendConns{{"b1"}}},
		"missing":   {admission.ListComplete, []Endpoint{entry("b2", "h:2", admission.Live, 0)}, []CloseBackendConns{{"b1"}}},
		"unchanged": {admission.ListDelta, []Endpoint{entry("b1", "h:1", admission.Live, 0)}, nil},
	} {
		r := start(t, entry("b1", "h:1", admission.Live, 0), entry("b2", "h:2", admission.Live, 0))
		got := only[CloseBackendConns](r.Step(time.Hour, &EndpointsUpdated{Kind: c.kind, Endpoints: c.news}))
		if !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// A deadline counts from the req's last byte, not from when the loop got to it.
func TestBudgetCountsFromArrival(t *testing.T) {
	r := start(t, entry("b1", "h:1", admission.Live, 0))
	got := only[StartAttempt](r.Step(time.Hour, read(1, time.Hour-30*time.Millisecond, time.Second)))
	if want := 970*time.Millisecond - responseMargin; len(got) != 1 || got[0].Timeout != want {
		t.Errorf("%+v, want one fetch that waits %v", got, want)
	}
}

// A req that comes on a session which rested while the program ends is answered before the program is
// gone, whatever time its client has: nobody is there to answer it later.
func TestAnsweredBeforeTheEnd(t *testing.T) {
	set := testSettings
	set.Plans = append(slices.Clone(set.Plans), admission.Plan{Name: "free", WeightFactor: 1}) // whose reqs are sent on to the last
	r, _ := New(time.Hour, Config{Settings: set, Seed: 1, KnownEndpoints: []Endpoint{entry("b1", "h:1", admission.Live, 0)}})
	r.Step(time.Hour, ShutdownRequested{})
	closing := only[CloseServer](r.Step(time.Hour+acceptGrace, TimerFired{}))
	if len(closing) != 1 || r.Phase() != Closing {
		t.Fatalf("%v in phase %v", closing, r.Phase())
	}
	ends := time.Hour + acceptGrace + closing[0].Within
	for i, at := range []time.Duration{ends - 400*time.Millisecond, ends - time.Millisecond} {
		ev := read(RequestID(i+1), at, time.Second)
		ev.Plan = "free"
		effects := r.Step(at, ev)
		for len(only[Respond](effects)) == 0 {
			timer := only[SetTimer](effects)
			if len(timer) == 0 || timer[0].At > ends-exitMargin {
				t.Fatalf("req %d, %v before the end: %v", i, ends-at, effects)
			}
			effects = r.Step(timer[0].At, TimerFired{})
		}
	}
	if c := r.Counters(); c.OpenReqs != 0 || c.Refused+c.Failed != 2 {
		t.Errorf("counters %+v", c)
	}
}

// What has waited for longer than its client does is refused, not sent on.
func TestTooLateOnArrival(t *testing.T) {
	r := start(t, entry("b1", "h:1", admission.Live, 0))
	got := only[Respond](r.Step(time.Hour, read(1, time.Hour-time.Second, 900*time.Millisecond)))
	if c := r.Counters(); len(got) != 1 || got[0].Kind != Rejected || c.NotSent+c.Overdue != 0 {
		t.Errorf("%+v, counters %+v", got, c)
	}
}

// Every req has its deadline armed, even one that the Gateway never ends.
func TestSilentGateway(t *testing.T) {
	for class, c := range map[string]struct {
		maybe bool
		want  ResponseKind
	}{"read": {true, Rejected}, "once": {false, Rejected}, "post": {true, Failed}} {
		r := start(t)
		ev := read(7, time.Hour, time.Second)
		ev.Class = class
		r.Step(time.Hour, ev)
		r.controller = admission.New(testSettings, 2) // one that knows nothing of it
		r.requests[7].mayHaveRun = c.maybe
		at := time.Hour + time.Second - responseMargin
		if got := only[Respond](r.Step(at-1, TimerFired{})); len(got) != 0 {
			t.Errorf("%s: %+v before the deadline", class, got)
		}
		got := only[Respond](r.Step(at, TimerFired{}))
		if len(got) != 1 || got[0].Kind != c.want || r.Counters().Overdue != 1 || len(r.requests) != 0 {
			t.Errorf("%s: %+v, want kind %d", class, got, c.want)
		}
	}
}

// What the Gateway asks for too late or too often, or at a backend that takes
// nothing new, is not sent, and the Gateway is told so.
func TestNotSent(t *testing.T) {
	live, gone := entry("b1", "h:1", admission.Live, 0), entry("b2", "h:2", admission.Draining, 0)
	for name, c := range map[string]struct {
		q  request
		to string
	}{
		"past its deadline": {request{deadline: time.Hour}, "b1"},
		"too many":          {request{deadline: 2 * time.Hour, attempts: 3}, "b1"},
		"answered":          {request{deadline: 2 * time.Hour, answered: true, openAttempts: 1}, "b1"},
		"draining":          {request{deadline: 2 * time.Hour}, "b2"},
		"never listed":      {request{deadline: 2 * time.Hour}, "b3"},
	} {
		r := start(t, live, gone)
		c.q.id, r.effects = 9, nil
		r.requests[9] = &c.q
		r.startAttempt(admission.StartAttempt{Request: 9, Backend: c.to})
		if n := r.Counters().NotSent; n != 1 || len(only[StartAttempt](r.effects)) != 0 {
			t.Errorf("%s: counted %d, effects %v", name, n, r.effects)
		}
	}
}

// A fetch that nobody waits for any longer is stopped, before any other starts.
func TestTimeout(t *testing.T) {
	r := start(t, entry("b1", "h:1", admission.Live, 0))
	r.Step(time.Hour, read(1, time.Hour, 500*time.Millisecond))
	got := r.Step(time.Hour+500*time.Millisecond-responseMargin, TimerFired{})
	if stops, answers := only[CancelAttempt](got), only[Respond](got); len(stops) != 1 || len(answers) != 1 || answers[0].Kind != Rejected {
		t.Errorf("%+v, want a stop and a refusal", got)
	}
	if late := r.Step(time.Hour+time.Second, &AttemptFinished{Attempt: AttemptID{1, 0}, Result: admission.Succeeded}); len(only[Respond](late)) != 0 {
		t.Errorf("a late outcome brought %+v", late)
	}
}

// Phases follow one another, each with what it asks for.
func TestPhases(t *testing.T) {
	r := start(t)
	if got := only[SetReady](r.Step(time.Hour+discoveryTimeout-1, TimerFired{})); len(got) != 0 || r.Phase() != Starting {
		t.Errorf("ready before discovery spoke: %v", got)
	}
	if got := only[SetReady](r.Step(time.Hour+discoveryTimeout, TimerFired{})); len(got) != 1 || !got[0].Ready || r.Phase() != Serving {
		t.Errorf("not ready though discovery stays silent: %v", got)
	}
	at := time.Hour + 10*time.Second
	got := r.Step(at, ShutdownRequested{})
	if ready := only[SetReady](got); len(ready) != 1 || ready[0].Ready || len(only[DrainClientConns](got)) != 1 || r.Phase() != Draining {
		t.Errorf("SIGTERM brought %+v", got)
	}
	if got := r.Step(at+acceptGrace-1, ShutdownRequested{}); len(only[CloseServer](got)) != 0 {
		t.Errorf("closed while clients may still connect: %+v", got)
	}
	closing := only[CloseServer](r.Step(at+acceptGrace, TimerFired{}))
	if want := 5*time.Second + killAfter - acceptGrace - killMargin; len(closing) != 1 || closing[0].Within != want {
		t.Errorf("%+v, want to be out within %v", closing, want)
	}
	if got := r.Step(at+time.Second, ServerClosed{}); len(only[Exit](got)) != 1 || r.Phase() != Stopped {
		t.Errorf("front closed brought %+v", got)
	}
}

// A program that is told to end before it was ready never is, answers what comes all the same, and is told
// so once: a second time changes nothing.
func TestEndsOnce(t *testing.T) {
	r := start(t, entry("b1", "h:1", admission.Live, 0))
	r.Step(time.Hour, ShutdownRequested{})
	if got := r.Step(time.Hour+time.Millisecond, &EndpointsUpdated{Kind: admission.ListComplete, Endpoints: []Endpoint{entry("b1", "h:1", admission.Live, 0)}}); len(only[SetReady](got)) > 0 || r.Phase() != Draining {
		t.Errorf("%v in phase %v", got, r.Phase())
	}
	sent := only[StartAttempt](r.Step(time.Hour+2*time.Millisecond, read(1, time.Hour+2*time.Millisecond, time.Second)))
	if len(sent) != 1 {
		t.Fatalf("%v", sent)
	}
	for _, at := range []time.Duration{time.Hour + 3*time.Millisecond, time.Hour + acceptGrace - time.Millisecond} {
		if got := r.Step(at, ShutdownRequested{}); len(only[DrainClientConns](got))+len(only[CloseServer](got)) > 0 || r.Phase() != Draining {
			t.Errorf("told again: %v in phase %v", got, r.Phase())
		}
	}
	r.Step(time.Hour+acceptGrace, TimerFired{})
	if got := r.Step(time.Hour+acceptGrace+time.Millisecond, ShutdownRequested{}); len(only[CloseServer](got)) > 0 || r.Phase() != Closing {
		t.Errorf("told again: %v in phase %v", got, r.Phase())
	}
	if got := only[Respond](r.Step(time.Hour+acceptGrace+2*time.Millisecond, &AttemptFinished{Attempt: sent[0].Attempt, Result: admission.Succeeded})); len(got) != 1 || got[0].Kind != Served {
		t.Errorf("answered %v", got)
	}
}

// A datagram may hold anything and come from anyone.
func TestBadDatagrams(t *testing.T) {
	r := start(t)
	whole := gossip.Message{Epoch: 1, Seq: 1}.Append(nil)
	for _, d := range []PeerMessageReceived{{-1, whole}, {2, whole}, {1, nil}, {1, whole[:9]}, {1, make([]byte, 300)}} {
		r.Step(time.Hour, &d)
	}
	r.Step(time.Hour, &PeerMessageReceived{1, whole})
	if c := r.Counters(); c.PeerBad != 5 || c.PeerIn != 1 {
		t.Errorf("%d bad, %d good; want 5 and 1", c.PeerBad, c.PeerIn)
	}
}

// Nobody is woken for what is over: a req answered, a fetch ended, a Wake that
// a later one took the place of.
func TestNoWakeForWhatIsOver(t *testing.T) {
	r := start(t, entry("b1", "h:1", admission.Live, 0))
	r.Step(time.Hour, &EndpointsUpdated{Kind: admission.ListDelta})
	r.Step(time.Hour, read(1, time.Hour, time.Second))
	r.Step(time.Hour+time.Millisecond, &AttemptFinished{Attempt: AttemptID{1, 0}, Result: admission.Succeeded})
	r.applyAction(admission.SetTimer{At: time.Hour + 40*time.Minute})
	r.applyAction(admission.SetTimer{At: time.Hour + 30*time.Minute})
	got := r.finishStep()
	if set := got[len(got)-1]; set != (SetTimer{time.Hour + 30*time.Minute}) {
		t.Errorf("%+v", set)
	}
	r.controllerTimerAt = 0
	if _, ok := r.nextTimer(); ok {
		t.Errorf("timers left: %+v", r.timers)
	}
}

// A new configuration moves the watch and nothing else. It is read by one
// reader at a time, once more if it was asked for meanwhile, and in any phase;
// one that cannot be read changes nothing and leaves one line.
func TestReload(t *testing.T) {
	r, _ := New(time.Hour, Config{Settings: testSettings, Seed: 1, Discovery: "old:1", KnownEndpoints: []Endpoint{entry("b1", "h:1", admission.Live, 0)}})
	reads := func(ev Event) int { return len(only[ReloadConfig](r.Step(time.Hour, ev))) }
	if a, b, c := reads(ReloadRequested{}), reads(ReloadRequested{}), reads(ReloadRequested{}); a != 1 || b+c != 0 {
		t.Errorf("asked for three times: read %d, %d, %d times", a, b, c)
	}
	got := r.Step(time.Hour, &ConfigReloaded{Discovery: "new:1"})
	if watch := only[WatchEndpoints](got); len(watch) != 1 || watch[0].Addr != "new:1" || len(only[ReloadConfig](got)) != 1 {
		t.Errorf("%+v, want the watch moved and the file read once more", got)
	}
	r.Step(time.Hour, ShutdownRequested{})
	got = r.Step(time.Hour, &ConfigReloaded{Err: errors.New("bad JSON")})
	if len(only[WatchEndpoints](got))+len(only[ReloadConfig](got)) != 0 || len(only[Log](got)) != 1 {
		t.Errorf("a bad file brought %+v", got)
	}
	if reads(ReloadRequested{}) != 1 {
		t.Error("not read while draining")
	}
	got = r.Step(time.Hour, &ConfigReloaded{Discovery: "new:1"})
	if len(only[WatchEndpoints](got)) != 0 {
		t.Errorf("the same address brought %+v", got)
	}
	if c := r.Counters(); c.Reloads != 2 || c.ReloadsBad != 1 || c.LiveBackends != 1 {
		t.Errorf("%+v", c)
	}
	r.Step(time.Hour, ServerClosed{})
	if reads(ReloadRequested{}) != 0 {
		t.Error("read after the end")
	}
}

// No two open reqs share a client's id: the second is turned away at once and
// does not touch the first, whose id is free again once nothing of it is out.
func TestOpenID(t *testing.T) {
	r := start(t, entry("b1", "h:1", admission.Live, 0))
	ask := func(id RequestID) []Effect {
		ev := read(id, time.Hour, time.Second)
		ev.CallID, ev.Customer = "x", fmt.Sprint(id)
		return r.Step(time.Hour, ev)
	}
	ask(1)
	if got := ask(2); len(got) != 1 || got[0] != (Respond{Request: 2, Kind: DuplicateID}) || len(r.requests) != 1 {
		t.Errorf("the second brought %+v", got)
	}
	if got := only[Respond](r.Step(time.Hour, &AttemptFinished{Attempt: AttemptID{1, 0}, Result: admission.Succeeded})); len(got) != 1 || got[0].Kind != Served {
		t.Errorf("the first ended with %+v", got)
	}
	if got := only[StartAttempt](ask(3)); len(got) != 1 || r.Counters().Malformed[OpenID] != 1 || len(r.requestsByCallID) != 1 {
		t.Errorf("the third brought %+v", got)
	}
}

// On most days backends are replaced under new ids: those that are gone are
// forgotten, whether they are told as removed or left out of a whole list.
func TestForgetsGoneBackends(t *testing.T) {
	r := start(t)
	for i := range 50 {
		a, b := fmt.Sprint("a", i), fmt.Sprint("b", i)
		r.Step(time.Hour, &EndpointsUpdated{Kind: admission.ListComplete, Endpoints: []Endpoint{
			entry(a, "h:1", admission.Live, 0), entry(b, "h:2", admission.Live, 0),
		}})
		got := only[CloseBackendConns](r.Step(time.Hour, &EndpointsUpdated{Kind: admission.ListDelta, Endpoints: []Endpoint{entry(a, "", admission.Removed, 0)}}))
		if len(got) != 1 || got[0].Backend != a {
			t.Fatalf("dropped %v", got)
		}
	}
	if len(r.backends) != 1 {
		t.Errorf("%d backends kept", len(r.backends))
	}
}

// A limiter that has a list to begin with is ready soon, whatever discovery does:
// after a release discovery answers late, and clients wait for the limiter.
func TestReadyWithAKnownList(t *testing.T) {
	for _, c := range []struct {
		known []Endpoint
		late  time.Duration
	}{{[]Endpoint{entry("b1", "h:1", admission.Live, 0)}, cachedListTimeout}, {nil, discoveryTimeout}} {
		r := start(t, c.known...)
		if r.Step(time.Hour+c.late-time.Millisecond, TimerFired{}); r.Phase() != Starting {
			t.Errorf("%d known: %v before %v", len(c.known), r.Phase(), c.late)
		}
		if r.Step(time.Hour+c.late, TimerFired{}); r.Phase() != Serving {
			t.Errorf("%d known: %v after %v", len(c.known), r.Phase(), c.late)
		}
	}
}

// The figures count each end under its class, tell the last change though nothing comes
// after it, and cost an idle program no wake-up.
func TestFigures(t *testing.T) {
	r, first := New(time.Hour, Config{
		Settings: testSettings, Seed: 1, PublishesMetrics: true,
		KnownEndpoints: []Endpoint{entry("b1", "h:1", admission.Live, 0), entry("b2", "h:2", admission.Draining, 0)},
	})
	now := time.Hour
	last := func(effects []Effect) *Metrics {
		if p := only[PublishMetrics](effects); len(p) > 0 {
			return &p[len(p)-1].Metrics
		}
		return nil
	}
	if f := last(r.Step(now, &EndpointsUpdated{Kind: admission.ListDelta})); f == nil || f.Members != 2 || f.Unavailable != 1 {
		t.Errorf("at first: %+v, %v", f, first)
	}
	ev := read(1, now, time.Second)
	sent := only[StartAttempt](r.Step(now, ev))
	if len(sent) != 1 {
		t.Fatal("not sent")
	}
	r.Step(now, read(2, now, time.Second))
	r.Step(now+time.Millisecond, &AttemptFinished{Attempt: sent[0].Attempt, Result: admission.Succeeded, Response: "x"})
	var f *Metrics
	for at := now; at <= now+metricsInterval; at += time.Millisecond {
		if got := last(r.Step(at, TimerFired{})); got != nil && f == nil {
			f = got
		}
	}
	if f == nil || f.Pending != 1 || f.Classes[0] != (ClassCounts{Class: "read", Completed: 1}) {
		t.Errorf("a little later: %+v", f)
	}
	r.Step(now+2*time.Second, TimerFired{}) // the other one is overdue
	r.Step(now+4*time.Second, TimerFired{})
	if got := r.metrics(); got.Pending != 0 || got.Classes[0].Completed+got.Classes[0].Rejected != 2 {
		t.Errorf("at the end: %+v", got)
	}
}

// The client of a req leaves: nothing more is sent on for it, also where fetches may not be called
// off and one is about to begin; and it is answered, as it may only have ended its sending.
func TestClientLeft(t *testing.T) {
	set := testSettings
	set.MayCancel = false
	r, _ := New(time.Hour, Config{Settings: set, Seed: 1, KnownEndpoints: []Endpoint{entry("b1", "h:1", admission.Live, 0)}})
	sent := only[StartAttempt](r.Step(time.Hour, read(1, time.Hour, time.Second)))
	if len(sent) != 1 {
		t.Fatalf("%v", sent)
	}
	effects := r.Step(time.Hour, &ClientDisconnected{Request: 1})
	if got := only[WithdrawAttempt](effects); len(got) != 1 || got[0].Attempt != sent[0].Attempt {
		t.Errorf("withdrawn %v, want %v", got, sent[0].Attempt)
	}
	if got := only[Respond](effects); len(got) != 1 || got[0].Request != 1 || got[0].Kind != Rejected {
		t.Errorf("answered %v", got)
	}
	effects = r.Step(time.Hour, &AttemptFinished{Attempt: sent[0].Attempt, Result: admission.NotSent})
	if len(only[StartAttempt](effects))+len(only[Respond](effects)) > 0 || len(r.requests) > 0 {
		t.Errorf("%v, %d reqs kept", effects, len(r.requests))
	}
	if c := r.Counters(); c.Left != 1 || c.Refused != 0 || c.OpenReqs != 0 {
		t.Errorf("counters %+v", c)
	}
}

// A req whose client had left before it was read is answered, and nothing else is done for it.
func TestLeftBeforeItWasRead(t *testing.T) {
	r := start(t, entry("b1", "h:1", admission.Live, 0))
	ev := read(1, time.Hour, time.Second)
	ev.Disconnected = true
	effects := r.Step(time.Hour, ev)
	if got := only[Respond](effects); len(got) != 1 || got[0].Kind != Rejected || len(only[StartAttempt](effects)) > 0 {
		t.Errorf("%v", effects)
	}
	if c := r.Counters(); c.Received != 1 || c.Left != 1 || c.OpenReqs != 0 || len(r.requests) > 0 {
		t.Errorf("counters %+v", c)
	}
}

// A successor adopts open attempts in the order in which they were made, the same every time: a
// backend's open attempts are kept oldest first.
func TestOpenAttemptsAreHandedOverInOrder(t *testing.T) {
	set := testSettings
	set.Plans = append(slices.Clone(set.Plans), admission.Plan{Name: "free", WeightFactor: 1})
	var entries []Endpoint
	for i := range 20 {
		entries = append(entries, entry(fmt.Sprintf("b%d", i), "h:1", admission.Live, 0))
	}
	r, _ := New(time.Hour, Config{Settings: set, Seed: 1, KnownEndpoints: entries})
	sent := 0
	for id := range RequestID(30) {
		ev := read(id+1, time.Hour, time.Second)
		ev.Plan = "free"
		sent += len(only[StartAttempt](r.Step(time.Hour, ev)))
	}
	inherit := r.packState()
	if sent < 10 || len(inherit.OpenAttempts) != sent {
		t.Fatalf("%d attempts started, %d handed over", sent, len(inherit.OpenAttempts))
	}
	if !slices.IsSortedFunc(inherit.OpenAttempts, func(a, b OpenAttempt) int {
		return compareAttemptIDs(AttemptID{a.ID, a.Attempt}, AttemptID{b.ID, b.Attempt})
	}) {
		t.Errorf("handed over out of order: %+v", inherit.OpenAttempts)
	}
}
