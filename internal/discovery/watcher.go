// Package discovery watches the endpoint list of the backends. It keeps a stream open, resumes it where
// it broke, and posts what it reads; it decides nothing.
//
// The platform judges a limiter by when a change of the list counts as known to it:
//
//   - once discovery on the limiter's machine has the change, whether or not a watch is open;
//   - at the latest maxKnownDelay after the watch fell silent, or after discovery had the change and could be
//     reached, whether or not the change arrived.
//
// From then on the limiter has the drain grace of the settings, 250 ms as a rule, until it may begin no
// further attempt at a backend that drains or was removed. The timeouts of this package follow from that.
//
// watcher.go has the watch, stream.go reads its messages, decode.go decodes them, and backoff.go decides
// when a watch that ended is opened again.
package discovery

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"lemongate/internal/admission"
	"lemongate/internal/core"
)

const (
	// maxKnownDelay is after how long a change counts as known to the limiter, whether or not it arrived.
	maxKnownDelay = 6 * time.Second
	// defaultSilenceTimeout is after how long without a byte a watch is given up. It is above the 2 s
	// between the empty lines of discovery, and well below maxKnownDelay.
	defaultSilenceTimeout = 3 * time.Second
	// dialTimeout bounds the connect to discovery, which is on this machine.
	dialTimeout = time.Second
)

var (
	// errInvalidMessage ends a watch with a message that was cut off or could not be decoded.
	errInvalidMessage = errors.New("watch: invalid message")
	// errRejected ends a watch that discovery answered with an error status.
	errRejected = errors.New("watch: rejected")
	// errSilent is the cause for which a silent watch is canceled.
	errSilent = errors.New("discovery is silent")
)

// A Watcher keeps a watch open. Its owner sets the fields and runs Run in a goroutine, which ends with
// the context.
type Watcher struct {
	Addr           string           // host:port of discovery; Run changes it after Move
	Origin         time.Time        // see Decode
	Generation     int64            // of the message read last; 0 requests the complete list
	Post           func(core.Event) // called with a core.EndpointsUpdated for each message
	Log            *zap.Logger
	Limiters       int                   // that watch the same discovery
	random         func() float64        // overrides the source of chance, in [0, 1)
	silenceTimeout time.Duration         // overrides after how long a silent watch is given up
	sleepOverride  func(d time.Duration) // overrides how a pause is spent

	mu       sync.Mutex
	nextAddr string             // of the last Move; empty once Run watches there
	leave    context.CancelFunc // ends the watch that is open, or the pause after it
}

// Move ends the watch, and has Run open one at another address.
func (w *Watcher) Move(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextAddr = addr
	if w.leave != nil {
		w.leave()
	}
}

// begin returns a context for one watch and the pause after it, which the next Move cancels, and whether
// Move was called since the last begin. After a Move the complete list is requested, as the generations of
// one discovery mean nothing at another.
func (w *Watcher) begin(ctx context.Context) (watchCtx context.Context, moved bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	moved = w.nextAddr != ""
	if moved {
		w.Addr, w.Generation, w.nextAddr = w.nextAddr, 0, ""
	}
	if w.leave != nil {
		w.leave()
	}
	watchCtx, w.leave = context.WithCancel(ctx)
	return watchCtx, moved
}

// Run watches until ctx ends. While no watch is open the list posted last holds.
func (w *Watcher) Run(ctx context.Context) {
	transport := &http.Transport{
		DisableCompression: true,
		DisableKeepAlives:  true,
		DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
	}
	defer transport.CloseIdleConnections()
	if w.random == nil {
		w.random = rand.Float64
	}
	pauses := newBackoff(w.Limiters, w.random)
	for ctx.Err() == nil {
		watchCtx, moved := w.begin(ctx)
		if moved {
			pauses.reset()
		}
		messages, err := w.watch(watchCtx, transport)
		if ctx.Err() != nil {
			return
		}
		if watchCtx.Err() != nil { // by Move
			continue
		}
		w.Log.Warn("endpoint watch ended", zap.Int("messages", messages), zap.Error(err))
		if messages > 0 || errors.Is(err, errInvalidMessage) {
			pauses.reset()
		}
		w.pause(watchCtx, pauses, err)
	}
}

// pause waits before the next watch, after one that ended with an error.
func (w *Watcher) pause(ctx context.Context, pauses *backoff, err error) {
	pause := pauses.afterFailure
	if errors.Is(err, errRejected) {
		pause = pauses.afterRejection
	}
	w.sleep(ctx, pause())
}

func (w *Watcher) sleep(ctx context.Context, d time.Duration) {
	if w.sleepOverride != nil {
		w.sleepOverride(d)
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// watch opens a watch, reads it to its end, and returns the number of messages read. The error is never nil.
func (w *Watcher) watch(ctx context.Context, transport *http.Transport) (messages int, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timeout := w.silenceTimeout
	if timeout == 0 {
		timeout = defaultSilenceTimeout
	}
	// TCP does not notice when discovery is cut off.
	silence := time.AfterFunc(timeout, func() { cancel(errSilent) })
	defer silence.Stop()

	response, err := w.open(ctx, transport)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }() // the stream has ended
	stream := newStream(response.Body, timeout, silence)
	for {
		list, err := stream.next(w.Origin)
		if errors.Is(err, errInvalidMessage) {
			w.Generation = 0 // what changed is unknown, so the complete list is requested next
		}
		if err != nil {
			return messages, err
		}
		messages++
		if messages == 1 {
			w.logFirst(list)
		}
		w.Generation = list.Generation
		w.Post(list)
	}
}

// open requests the messages after the generation held.
func (w *Watcher) open(ctx context.Context, transport *http.Transport) (*http.Response, error) {
	url := "http://" + w.Addr + "/v1/endpoints?stream=1&index=" + strconv.FormatInt(w.Generation, 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, fmt.Errorf("watch: %w", err)
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, fmt.Errorf("watch: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close() // its text is of no use
		return nil, fmt.Errorf("%w with status %d", errRejected, response.StatusCode)
	}
	return response, nil
}

// logFirst logs the first message of a watch.
func (w *Watcher) logFirst(list *core.EndpointsUpdated) {
	w.Log.Info("endpoint list received",
		zap.String("from", w.Addr),
		zap.Int64("requested", w.Generation),
		zap.Int64("generation", list.Generation),
		zap.Bool("complete", list.Kind == admission.ListComplete),
		zap.Int("entries", len(list.Endpoints)))
}
