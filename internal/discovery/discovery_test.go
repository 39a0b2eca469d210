package discovery

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"lemongate/internal/admission"
	"lemongate/internal/core"
)

const listText = `{"generation":41,"reset":true,"instances":[
	{"instanceId":"s-1","hostPort":"127.0.0.1:8443","zone":"a","machineType":"m2","cell":3,"lifecycle":"up","weight":1.5,"startedAtMs":0},
	{"instanceId":"s-2","hostPort":"127.0.0.1:8444","zone":"b","cell":4,"lifecycle":"draining","weight":1,"startedAtMs":1000500},
	{"instanceId":"s-3","lifecycle":"removed","startedAtMs":7}]}`

// Unix milliseconds become times of the program's clock; a start before its
// zero is long ago.
func TestDecode(t *testing.T) {
	list, generation, err := Decode([]byte(listText), time.UnixMilli(1_000_000))
	want := &core.EndpointsUpdated{Kind: admission.ListComplete, Generation: 41, Endpoints: []core.Endpoint{
		{Addr: "127.0.0.1:8443", Backend: admission.Backend{ID: "s-1", Zone: "a", Cell: 3, RelativeCapacity: 1.5}},
		{Addr: "127.0.0.1:8444", Backend: admission.Backend{
			ID: "s-2", Zone: "b", Cell: 4, State: admission.Draining, RelativeCapacity: 1, StartedAt: 500 * time.Millisecond,
		}},
		{Backend: admission.Backend{ID: "s-3", State: admission.Removed}},
	}}
	if err != nil || generation != 41 || !reflect.DeepEqual(list, want) {
		t.Errorf("%+v, %d, %v", list, generation, err)
	}
}

// An entry in a state that nobody here knows takes nothing new, and the others
// count all the same.
func TestUnknownLifecycle(t *testing.T) {
	list, _, err := Decode([]byte(strings.Replace(listText, `"removed"`, `"parked"`, 1)), time.Time{})
	if err != nil || len(list.Endpoints) != 3 || list.Endpoints[2].State != admission.Draining {
		t.Errorf("%+v, %v", list, err)
	}
}

func TestDecodeMalformed(t *testing.T) {
	for text, want := range map[string]string{
		"{\n\n": "bad JSON",
		`{"instances":[{"lifecycle":"up","hostPort":"h:1"}]}`:                        "without instanceId",
		`{"instances":[{"instanceId":"x","lifecycle":"up","hostPort":"127.0.0.1"}]}`: "missing port",
	} {
		_, _, err := Decode([]byte(text), time.Time{})
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want %s", text, err, want)
		}
	}
}

// agent plays discovery: it hands each watch to the test.
type agent struct {
	watches chan watch
	server  *httptest.Server
}

// A watch is one that was asked for. It ends when its lines are closed.
type watch struct {
	query string
	lines chan string
	gone  <-chan struct{}
}

func newAgent(t *testing.T) *agent {
	a := &agent{watches: make(chan watch)}
	a.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		lines := make(chan string)
		select {
		case a.watches <- watch{r.URL.RequestURI(), lines, r.Context().Done()}:
		case <-r.Context().Done(): // one more than the test looks at
			return
		}
		for {
			select {
			case text, more := <-lines:
				if !more {
					return
				}
				io.WriteString(w, text)
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				return
			}
		}
	}))
	t.Cleanup(a.server.Close)
	return a
}

func (a *agent) watcher(t *testing.T, change func(*Watcher)) <-chan core.Event {
	_, events := a.start(t, change)
	return events
}

func (a *agent) start(t *testing.T, change func(*Watcher)) (*Watcher, <-chan core.Event) {
	events := make(chan core.Event, 8)
	w := &Watcher{
		Addr: a.server.Listener.Addr().String(), Generation: 7, Log: zap.NewNop(),
		Post: func(ev core.Event) { events <- ev }, Sleep: func(time.Duration) {},
	}
	if change != nil {
		change(w)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan bool)
	go func() {
		w.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return w, events
}

// A move ends the watch of before at once, and asks the new place for its whole
// list: the versions of one discovery mean nothing at another. Until that has
// come, nothing is told, so the old list holds. The last of several moves counts.
func TestMove(t *testing.T) {
	a, b := newAgent(t), newAgent(t)
	w, events := a.start(t, nil)
	first := <-a.watches
	w.Move(b.server.Listener.Addr().String())
	<-first.gone
	moved := <-b.watches
	if moved.query != "/v1/endpoints?stream=1&index=0" || len(events) != 0 {
		t.Errorf("asked %s, %d events", moved.query, len(events))
	}
	moved.lines <- strings.ReplaceAll(listText, "\n", "") + "\n"
	if ev := (<-events).(*core.EndpointsUpdated); ev.Kind != admission.ListComplete || len(ev.Endpoints) != 3 {
		t.Errorf("%+v", ev)
	}
	w.Move("127.0.0.1:0") // nothing is there
	<-moved.gone
	w.Move(a.server.Listener.Addr().String()) // also out of a pause
	if again := <-a.watches; again.query != "/v1/endpoints?stream=1&index=0" {
		t.Errorf("asked %s", again.query)
	}
}

const change = `{"generation":%,"reset":false,"instances":[{"instanceId":"s-1","hostPort":"127.0.0.1:1","lifecycle":"up"}]}` + "\n"

// A watch resumes after the last version it brought, skips the empty lines,
// and asks for the whole list once a line made no sense.
func TestResume(t *testing.T) {
	a := newAgent(t)
	events := a.watcher(t, nil)
	first := <-a.watches
	first.lines <- "\n" + strings.Replace(change, "%", "43", 1) + "\n\n"
	if ev := (<-events).(*core.EndpointsUpdated); ev.Kind != admission.ListDelta || len(ev.Endpoints) != 1 {
		t.Errorf("%+v", ev)
	}
	close(first.lines)
	second := <-a.watches
	second.lines <- "nonsense\n"
	third := <-a.watches
	third.lines <- strings.ReplaceAll(listText, "\n", "") + "\n"
	if ev := (<-events).(*core.EndpointsUpdated); ev.Kind != admission.ListComplete {
		t.Errorf("%+v", ev)
	}
	for i, c := range []struct{ got, index string }{{first.query, "7"}, {second.query, "43"}, {third.query, "0"}} {
		if want := "/v1/endpoints?stream=1&index=" + c.index; c.got != want {
			t.Errorf("watch %d asked %s, want %s", i, c.got, want)
		}
	}
}

// A stream on which not even empty lines come is given up: TCP does not notice
// that a machine has been cut off. A stream with empty lines is kept.
func TestSilence(t *testing.T) {
	a := newAgent(t)
	a.watcher(t, func(w *Watcher) { w.SilenceTimeout = 20 * time.Millisecond })
	first := <-a.watches
	<-first.gone
	<-a.watches
}

// A change in a line that cannot be read counts as told with that line, and
// new sending must end 250 ms later: even after three such lines in a row what
// it said is asked for again in time.
func TestBadLines(t *testing.T) {
	a := newAgent(t)
	var spent time.Duration
	events := a.watcher(t, func(w *Watcher) { w.Sleep = func(d time.Duration) { spent += d } })
	for range 3 {
		(<-a.watches).lines <- "{\"generation\x00:7}\n"
	}
	(<-a.watches).lines <- strings.Replace(change, "%", "8", 1)
	if <-events; spent > 100*time.Millisecond {
		t.Errorf("asked again after %v", spent)
	}
}

// Pauses between failed watches grow up to a bound, well within the 250 ms for which what the
// agent has learnt may be missed, and start again from the least once a watch has brought something.
func TestBackoff(t *testing.T) {
	a := newAgent(t)
	pauses := make(chan time.Duration, 1)
	a.watcher(t, func(w *Watcher) {
		w.Sleep, w.Random = func(d time.Duration) { pauses <- d }, func() float64 { return 0.5 }
	})
	for _, want := range []int{10, 20, 40, 80, 100, 100} { // and no more: a silent one costs nobody anything
		close((<-a.watches).lines)
		if got := <-pauses; got != time.Duration(want)*time.Millisecond {
			t.Errorf("pause %v, want %d ms", got, want)
		}
	}
	good := <-a.watches
	good.lines <- strings.Replace(change, "%", "8", 1)
	close(good.lines)
	if got := <-pauses; got != backoffFrom {
		t.Errorf("pause %v after a good watch", got)
	}
}

// crowded plays a discovery that turns every call away, and gives the pauses after them.
func crowded(t *testing.T, tier, calls int, random func() float64) (pauses []time.Duration) {
	full := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer full.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w := &Watcher{
		Addr: full.Listener.Addr().String(), Limiters: tier, Random: random, Log: zap.NewNop(), Post: func(core.Event) {},
		Sleep: func(d time.Duration) {
			if pauses = append(pauses, d); len(pauses) == calls {
				cancel()
			}
		},
	}
	w.Run(ctx)
	return pauses
}

// Limiters that are turned away together do not come again in step, nor so often that
// discovery's line never empties, nor later than what it has to tell counts as told.
func TestTierDoesNotFloodDiscovery(t *testing.T) {
	for _, c := range []struct {
		tier         int
		first, least time.Duration // most of the first pauses, and the least mean of late ones
	}{
		{3, 110 * time.Millisecond, 0}, {20, time.Second, 1500 * time.Millisecond},
		{80, 4 * time.Second, 4 * time.Second}, {300, 6100 * time.Millisecond, 4 * time.Second},
	} {
		chance := rand.New(rand.NewPCG(1, uint64(c.tier)))
		var sum time.Duration
		for _, d := range crowded(t, c.tier, 31, chance.Float64)[11:] {
			if sum += d / 20; d > toldWithin*3/2 {
				t.Errorf("%d limiters: a pause of %v", c.tier, d)
			}
		}
		if sum < c.least {
			t.Errorf("%d limiters: a call each %v, want %v at least", c.tier, sum, c.least)
		}
		var earliest, latest time.Duration = time.Hour, 0
		for range 20 {
			d := crowded(t, c.tier, 1, chance.Float64)[0]
			earliest, latest = min(earliest, d), max(latest, d)
		}
		if latest > c.first || latest < c.first/2 || earliest > c.first/3 {
			t.Errorf("%d limiters: again %v to %v after a refusal, want it spread over %v", c.tier, earliest, latest, c.first)
		}
	}
}

// What the agent has counts as told, so in a tier of any size the first call goes out
// at the start, and a new one at a move and once a watch breaks, with no pause that
// the rule on drains (250 ms) has no room for.
func TestAsksAtOnceInAnyTier(t *testing.T) {
	for _, tier := range []int{3, 80, 300} {
		a, b := newAgent(t), newAgent(t)
		var spent time.Duration
		w, events := a.start(t, func(w *Watcher) { w.Limiters, w.Sleep = tier, func(d time.Duration) { spent += d } })
		first := <-a.watches
		first.lines <- strings.Replace(change, "%", "8", 1)
		<-events
		close(first.lines)
		<-a.watches
		w.Move(b.server.Listener.Addr().String())
		<-b.watches
		if spent > 50*time.Millisecond {
			t.Errorf("%d limiters: three calls after pauses of %v", tier, spent)
		}
	}
}
