package discovery

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"lemongate/internal/admission"
	"lemongate/internal/core"
	"lemongate/internal/testnet"
)

const listText = `{"generation":41,"reset":true,"instances":[
	{"instanceId":"s-1","hostPort":"127.0.0.1:8443","zone":"a","machineType":"m2","cell":3,"lifecycle":"up","weight":1.5,"startedAtMs":0},
	{"instanceId":"s-2","hostPort":"127.0.0.1:8444","zone":"b","cell":4,"lifecycle":"draining","weight":1,"startedAtMs":1000500},
	{"instanceId":"s-3","lifecycle":"removed","startedAtMs":7}]}`

// Unix milliseconds are converted to times of the program's clock. A start time before the zero of that clock is
// converted to zero, which stands for a start long ago.
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
		t.Errorf("got %+v, generation %d, error %v; want the 3 endpoints of listText, generation 41 and no error", list, generation, err)
	}
}

// An instance with an unknown lifecycle counts as draining, and does not invalidate the list.
func TestUnknownLifecycle(t *testing.T) {
	list, _, err := Decode([]byte(strings.Replace(listText, `"removed"`, `"parked"`, 1)), time.Time{})
	if err != nil || len(list.Endpoints) != 3 || list.Endpoints[2].State != admission.Draining {
		t.Errorf("got %+v, error %v; want 3 endpoints with the last one draining", list, err)
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
			t.Errorf("%s: error %v, want one line with %q", text, err, want)
		}
	}
}

// A fakeDiscovery passes each watch to the test. It listens on an address that other processes do not use. On
// 127.0.0.1 it would also receive watches of limiters in other processes whose discovery has ended.
type fakeDiscovery struct {
	watches chan watch
	server  *httptest.Server
}

// A watch is a request of a Watcher that is being answered. It ends when lines is closed.
type watch struct {
	uri    string          // path and query of the request
	lines  chan string     // text to send, in pieces of any length
	closed <-chan struct{} // closed when the Watcher has closed the connection
}

func newFakeDiscovery(t *testing.T) *fakeDiscovery {
	d := &fakeDiscovery{watches: make(chan watch)}
	d.server = testnet.Serve(t, func(w http.ResponseWriter, r *http.Request) {
		lines := make(chan string)
		select {
		case d.watches <- watch{r.URL.RequestURI(), lines, r.Context().Done()}:
		case <-r.Context().Done(): // the watch ended before the test received it
			return
		}
		for {
			select {
			case text, ok := <-lines:
				if !ok {
					return
				}
				_, _ = io.WriteString(w, text) // the watch may have ended
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				return
			}
		}
	})
	return d
}

// startEvents calls start, and returns only the events.
func (d *fakeDiscovery) startEvents(t *testing.T, configure func(*Watcher)) <-chan core.Event {
	_, events := d.start(t, configure)
	return events
}

// start runs a Watcher of this discovery until the end of the test, and returns it and the events that it posts.
// Configure, if not nil, changes the Watcher before it runs.
func (d *fakeDiscovery) start(t *testing.T, configure func(*Watcher)) (*Watcher, <-chan core.Event) {
	events := make(chan core.Event, 8)
	w := &Watcher{
		Addr: d.server.Listener.Addr().String(), Generation: 7, Log: zap.NewNop(),
		Post: func(ev core.Event) { events <- ev }, sleepOverride: func(time.Duration) {},
	}
	if configure != nil {
		configure(w)
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

// A limiter of another process retries its watch on 127.0.0.1, on a port that the kernel may have assigned again. That
// watch must not be passed to a test: TestCutOffAtAnyByte, for example, fails if it receives such a watch, which requests
// generation 1.
func TestWatchOfOtherProcessIsNotReceived(t *testing.T) {
	fake := newFakeDiscovery(t)
	_, port, err := net.SplitHostPort(fake.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan bool, 1)
	fake.startEvents(t, func(w *Watcher) {
		w.Addr, w.Generation = "127.0.0.1:"+port, 1
		w.sleepOverride = func(time.Duration) {
			select {
			case ended <- true:
			default:
			}
			time.Sleep(minBackoff)
		}
	})
	select {
	case taken := <-fake.watches:
		t.Errorf("the watch of another process was passed to the test: %s", taken.uri)
	case <-ended:
	}
}

// SetAddr ends the open watch at once and requests the complete list at the new address, because the generations of one
// discovery mean nothing at another. Nothing is posted until that list is received, so the old list stays in effect.
// After several calls of SetAddr, the last address is used.
func TestSetAddr(t *testing.T) {
	fake, other := newFakeDiscovery(t), newFakeDiscovery(t)
	w, events := fake.start(t, nil)
	first := <-fake.watches
	w.SetAddr(other.server.Listener.Addr().String())
	<-first.closed
	moved := <-other.watches
	if moved.uri != "/v1/endpoints?stream=1&index=0" || len(events) != 0 {
		t.Errorf("requested %s, %d events; want index 0 and no events", moved.uri, len(events))
	}
	moved.lines <- strings.ReplaceAll(listText, "\n", "") + "\n"
	if ev := (<-events).(*core.EndpointsUpdated); ev.Kind != admission.ListComplete || len(ev.Endpoints) != 3 {
		t.Errorf("got %+v, want a complete list of 3 endpoints", ev)
	}
	w.SetAddr("127.0.0.1:0") // no server listens there
	<-moved.closed
	w.SetAddr(fake.server.Listener.Addr().String()) // also ends a pause
	if reopened := <-fake.watches; reopened.uri != "/v1/endpoints?stream=1&index=0" {
		t.Errorf("requested %s, want index 0", reopened.uri)
	}
}

// changeTemplate is a change to a list; "%" stands for its generation.
const changeTemplate = `{"generation":%,"reset":false,"instances":[{"instanceId":"s-1","hostPort":"127.0.0.1:1","lifecycle":"up"}]}` + "\n"

// A Watcher resumes after the last generation that it received, skips empty lines, and requests the complete list after
// an invalid line.
func TestResume(t *testing.T) {
	fake := newFakeDiscovery(t)
	events := fake.startEvents(t, nil)
	first := <-fake.watches
	first.lines <- "\n" + strings.Replace(changeTemplate, "%", "43", 1) + "\n\n"
	if ev := (<-events).(*core.EndpointsUpdated); ev.Kind != admission.ListDelta || len(ev.Endpoints) != 1 {
		t.Errorf("got %+v, want a change with 1 endpoint", ev)
	}
	close(first.lines)
	second := <-fake.watches
	second.lines <- "nonsense\n"
	third := <-fake.watches
	third.lines <- strings.ReplaceAll(listText, "\n", "") + "\n"
	if ev := (<-events).(*core.EndpointsUpdated); ev.Kind != admission.ListComplete {
		t.Errorf("got %+v, want a complete list", ev)
	}
	for i, c := range []struct{ got, index string }{{first.uri, "7"}, {second.uri, "43"}, {third.uri, "0"}} {
		if want := "/v1/endpoints?stream=1&index=" + c.index; c.got != want {
			t.Errorf("watch %d requested %s, want %s", i, c.got, want)
		}
	}
}

// The Watcher ends a watch on which it receives nothing, not even empty lines: TCP does not detect that a machine has
// become unreachable.
func TestSilenceTimeout(t *testing.T) {
	fake := newFakeDiscovery(t)
	fake.startEvents(t, func(w *Watcher) { w.silenceTimeout = 20 * time.Millisecond })
	first := <-fake.watches
	<-first.closed
	<-fake.watches
}

// A change in an invalid line counts as known as soon as discovery has it, and 250 ms later no new attempt may start at
// a backend that is then draining or removed. The Watcher requests the list in time even after three such lines in a row.
func TestInvalidLines(t *testing.T) {
	fake := newFakeDiscovery(t)
	var slept time.Duration
	events := fake.startEvents(t, func(w *Watcher) { w.sleepOverride = func(d time.Duration) { slept += d } })
	for range 3 {
		(<-fake.watches).lines <- "{\"generation\x00:7}\n"
	}
	(<-fake.watches).lines <- strings.Replace(changeTemplate, "%", "8", 1)
	if <-events; slept > 100*time.Millisecond {
		t.Errorf("requested the list after pauses of %v, want 100 ms at most", slept)
	}
}

// Pauses between failed watches grow up to a bound that is well within the 250 ms for which a change may be missed,
// and start again from the shortest pause after a watch that received a message.
func TestBackoff(t *testing.T) {
	fake := newFakeDiscovery(t)
	pauses := make(chan time.Duration, 1)
	fake.startEvents(t, func(w *Watcher) {
		w.sleepOverride, w.random = func(d time.Duration) { pauses <- d }, func() float64 { return 0.5 }
	})
	for _, want := range []int{10, 20, 40, 80, 100, 100} { // at most 100 ms, because a failed watch puts no load on discovery
		close((<-fake.watches).lines)
		if got := <-pauses; got != time.Duration(want)*time.Millisecond {
			t.Errorf("pause %v, want %d ms", got, want)
		}
	}
	good := <-fake.watches
	good.lines <- strings.Replace(changeTemplate, "%", "8", 1)
	close(good.lines)
	if got := <-pauses; got != minBackoff {
		t.Errorf("pause %v after a watch that received a message, want minBackoff (10 ms)", got)
	}
}

// rejectionPauses returns the first count pauses of a watcher whose watches are all rejected.
func rejectionPauses(limiters, count int, random func() float64) (pauses []time.Duration) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w := &Watcher{
		Addr: server.Listener.Addr().String(), Limiters: limiters, random: random, Log: zap.NewNop(), Post: func(core.Event) {},
		sleepOverride: func(d time.Duration) {
			if pauses = append(pauses, d); len(pauses) == count {
				cancel()
			}
		},
	}
	w.Run(ctx)
	return pauses
}

// Limiters whose watches are rejected together do not retry in step, do not retry so often that discovery's queue never
// empties, and do not wait so long that a change counts as known to them long before they retry.
func TestTierDoesNotOverloadDiscovery(t *testing.T) {
	for _, c := range []struct {
		limiters          int
		maxFirst, minMean time.Duration // bound on the first pauses, and lower bound on the mean of later pauses
	}{
		{3, 110 * time.Millisecond, 0}, {20, time.Second, 1500 * time.Millisecond},
		{80, 4 * time.Second, 4 * time.Second}, {300, 6100 * time.Millisecond, 4 * time.Second},
	} {
		rng := rand.New(rand.NewPCG(1, uint64(c.limiters)))
		var sum time.Duration
		for _, d := range rejectionPauses(c.limiters, 31, rng.Float64)[11:] {
			if sum += d / 20; d > maxRejectionBackoff*3/2 {
				t.Errorf("%d limiters: pause of %v, want 1.5 times maxRejectionBackoff at most", c.limiters, d)
			}
		}
		if sum < c.minMean {
			t.Errorf("%d limiters: mean pause %v, want %v at least", c.limiters, sum, c.minMean)
		}
		var earliest, latest time.Duration = time.Hour, 0
		for range 20 {
			d := rejectionPauses(c.limiters, 1, rng.Float64)[0]
			earliest, latest = min(earliest, d), max(latest, d)
		}
		if latest > c.maxFirst || latest < c.maxFirst/2 || earliest > c.maxFirst/3 {
			t.Errorf("%d limiters: first pauses from %v to %v after a rejection, want them spread over about %v", c.limiters, earliest, latest, c.maxFirst)
		}
	}
}

// A change that discovery has counts as known to the limiter. Therefore, in a tier of any size, the Watcher opens the
// first watch at once, and another one after SetAddr or when a watch breaks, without a pause that exceeds the 250 ms
// allowed for draining backends.
func TestWatchesAtOnceInAnyTier(t *testing.T) {
	for _, limiters := range []int{3, 80, 300} {
		fake, other := newFakeDiscovery(t), newFakeDiscovery(t)
		var slept time.Duration
		w, events := fake.start(t, func(w *Watcher) { w.Limiters, w.sleepOverride = limiters, func(d time.Duration) { slept += d } })
		first := <-fake.watches
		first.lines <- strings.Replace(changeTemplate, "%", "8", 1)
		<-events
		close(first.lines)
		<-fake.watches
		w.SetAddr(other.server.Listener.Addr().String())
		<-other.watches
		if slept > 50*time.Millisecond {
			t.Errorf("%d limiters: pauses of %v in three watches, want 50 ms at most", limiters, slept)
		}
	}
}
