// Package discovery watches the list of backends. It keeps a stream open,
// resumes it where it broke, and tells what it reads; it decides nothing.
package discovery

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	jsoniter "github.com/json-iterator/go"
	"go.uber.org/zap"

	"lemongate/internal/admission"
	"lemongate/internal/core"
)

const (
	// Something comes every 2 s. What discovery has to tell counts as told after a
	// few seconds, whether it came or not, so a silent stream is not trusted longer.
	silentAfter = 3 * time.Second
	// A message that cannot be read counts as told too, and new sending must end
	// 250 ms later: it is asked for again at once, which costs the agent on this
	// machine nothing.
	backoffFrom = 10 * time.Millisecond
	// Nor does one that nobody takes up. What the agent learns as it is back counts as told
	// then, so the longest pause leaves room for a new call within the 250 ms.
	backoffMost = 100 * time.Millisecond
	// Whatever the agent of a machine has counts as told to the limiter there, asked
	// for or not: a limiter that starts, moves or has lost its watch asks at once.
	// Only where discovery turns a call away are there too many: one service answers
	// those of all limiters in turn, and limiters that ask again soon keep its line
	// full for good. So after a refusal the next call of each is spread over
	// spreadEach for each limiter of the tier, and later ones are put off, doubling,
	// until all together make one call in mostEach; but none for longer than
	// toldWithin, as by then what there is to tell counts as told.
	spreadEach = 50 * time.Millisecond
	mostEach   = 100 * time.Millisecond
	toldWithin = 6 * time.Second
	dialWithin = time.Second // for a connection to discovery, which is on this machine
	maxList    = 4 << 20     // bytes of a message; far more than any fleet fills
	// A message that has begun and does not go on for this long was cut off.
	stalledAfter = 100 * time.Millisecond
)

// message is a list or a change of it, as discovery words it.
type message struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

type instance struct {
	ID        string  `json:"instanceId"`
	Addr      string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"startedAtMs"`
}

var states = map[string]admission.BackendState{
	"up": admission.Live, "draining": admission.Draining, "removed": admission.Removed,
}

// Decode reads one message. Origin is the Unix time at which the program's
// clock stood at zero.
func Decode(data []byte, origin time.Time) (list *core.EndpointsUpdated, generation int64, err error) {
	var m message
	if err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(data, &m); err != nil {
		return nil, 0, badJSON(err)
	}
	list, err = m.list(origin)
	return list, m.Generation, err
}

func badJSON(err error) error {
	return fmt.Errorf("list of backends: bad JSON: %s", strings.ReplaceAll(err.Error(), "\n", " "))
}

// list words a message as an event.
func (m *message) list(origin time.Time) (*core.EndpointsUpdated, error) {
	if m.Reset && m.Instances == nil {
		return nil, errors.New("list of backends: a whole list without instances")
	}
	list := &core.EndpointsUpdated{Kind: admission.ListDelta, Generation: m.Generation}
	if m.Reset {
		list.Kind = admission.ListComplete
	}
	for _, x := range m.Instances {
		if x.ID == "" {
			return nil, errors.New("list of backends: an instance without instanceId")
		}
		state, known := states[x.Lifecycle]
		if !known { // a word of later days: one odd entry must not cost the whole list
			state = admission.Draining
		}
		if _, _, err := net.SplitHostPort(x.Addr); err != nil && state == admission.Live {
			return nil, fmt.Errorf("list of backends: instance %q: %w", x.ID, err)
		}
		e := core.Endpoint{Addr: x.Addr, Backend: admission.Backend{
			ID: x.ID, Zone: x.Zone, Cell: x.Cell, State: state, RelativeCapacity: x.Weight,
		}}
		if x.StartedMS > 0 {
			e.StartedAt = max(time.UnixMilli(x.StartedMS).Sub(origin), 0)
		}
		list.Endpoints = append(list.Endpoints, e)
	}
	return list, nil
}

// A Watcher keeps a watch open.
type Watcher struct {
	Addr           string
	Origin         time.Time        // see Decode
	Generation     int64            // the generation held; grows as the watch tells of newer ones
	Post           func(core.Event) // takes what was read
	Log            *zap.Logger
	Limiters       int                   // limiters that watch the same discovery
	Random         func() float64        // overrides the source of chance, in [0, 1)
	SilenceTimeout time.Duration         // overrides how long a silent stream is trusted
	Sleep          func(d time.Duration) // overrides how a pause is spent

	mu   sync.Mutex
	next string             // where to watch from now on; empty once there
	stay context.CancelFunc // ends the watch that is open, or the pause after it
}

// Move has discovery watched at another address, at once.
func (w *Watcher) Move(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next = addr
	if w.stay != nil {
		w.stay()
	}
}

// settle goes where the last Move said, if there was one, and begins a stay
// there. The versions of one discovery mean nothing at another: an index of
// before could hide changes, so the whole list is wanted.
func (w *Watcher) settle(ctx context.Context) (stay context.Context, moved bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if moved = w.next != ""; moved {
		w.Addr, w.Generation, w.next = w.next, 0, ""
	}
	if w.stay != nil {
		w.stay()
	}
	stay, w.stay = context.WithCancel(ctx)
	return stay, moved
}

// Run watches until ctx ends. Meanwhile the old list holds, whatever fails.
func (w *Watcher) Run(ctx context.Context) {
	transport := &http.Transport{
		DisableCompression: true, DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: dialWithin}).DialContext,
	}
	defer transport.CloseIdleConnections()
	if w.Random == nil {
		w.Random = rand.Float64
	}
	spread := min(time.Duration(max(w.Limiters-1, 0))*spreadEach, toldWithin)
	most := max(backoffMost, min(time.Duration(w.Limiters)*mostEach, toldWithin))
	backoff, refused := backoffFrom, 0
	for ctx.Err() == nil {
		stay, moved := w.settle(ctx)
		if moved {
			backoff, refused = backoffFrom, 0
		}
		read, err := w.watch(stay, transport)
		if ctx.Err() != nil {
			return
		}
		if stay.Err() != nil { // moved on
			continue
		}
		w.Log.Warn("watch of the backend list ended", zap.Int("messages", read), zap.Error(err))
		if read > 0 || errors.Is(err, errUnread) {
			backoff, refused = backoffFrom, 0
		}
		switch turnedAway := errors.Is(err, errTurnedAway); {
		case turnedAway && refused == 0 && spread > 0:
			refused, backoff = 1, max(backoff, spread)
			w.pause(stay, backoffFrom+time.Duration(w.Random()*float64(spread)))
		case turnedAway:
			w.pause(stay, time.Duration((0.5+w.Random())*float64(min(backoff, most))))
			backoff = min(2*backoff, most)
		default: // nobody is there, or it is silent: that keeps no line full
			w.pause(stay, time.Duration((0.5+w.Random())*float64(min(backoff, backoffMost))))
			backoff = min(2*backoff, backoffMost)
		}
	}
}

func (w *Watcher) pause(ctx context.Context, d time.Duration) {
	if w.Sleep != nil {
		w.Sleep(d)
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

var (
	// errUnread ends a watch that brought a message that could not be read.
	errUnread = errors.New("watch")
	// errTurnedAway ends a watch that discovery had no room for.
	errTurnedAway = errors.New("watch: turned away")
)

// watch reads one stream to its end and tells how many messages it brought.
func (w *Watcher) watch(ctx context.Context, transport *http.Transport) (read int, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silent := w.SilenceTimeout
	if silent == 0 {
		silent = silentAfter
	}
	// A cut-off discovery says nothing and TCP does not notice: the stream is
	// given up when not even the empty lines come.
	alarm := time.AfterFunc(silent, cancel)
	defer alarm.Stop()

	url := "http://" + w.Addr + "/v1/endpoints?stream=1&index=" + strconv.FormatInt(w.Generation, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, fmt.Errorf("watch: %w", err)
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, fmt.Errorf("watch: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("%w with status %d", errTurnedAway, resp.StatusCode)
	}
	in := newStream(resp.Body, silent, alarm)
	for {
		list, err := in.next(w.Origin)
		if errors.Is(err, errUnread) {
			w.Generation = 0 // what it changed is unknown, so the whole list is wanted
		}
		if err != nil {
			return read, err
		}
		if read++; read == 1 {
			w.Log.Info("backend list", zap.String("from", w.Addr), zap.Int64("asked", w.Generation),
				zap.Int64("generation", list.Generation), zap.Bool("whole", list.Kind == admission.ListComplete),
				zap.Int("entries", len(list.Endpoints)))
		}
		w.Generation = list.Generation
		w.Post(list)
	}
}
