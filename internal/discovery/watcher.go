// Package discovery watches the endpoint list of the backends. It keeps a stream open, resumes it after the last
// message received when it breaks, and posts the messages; it makes no decisions.
//
// The platform checks that a limiter reacts in time to a change of the list. A change counts as known to the limiter:
//
//   - as soon as discovery on the limiter's machine has the change, whether or not a watch is open;
//   - at the latest maxKnownDelay after data stopped arriving on the watch, or after discovery had the change and
//     was reachable, whether or not the change was received.
//
// From then on the limiter has the drain grace of the settings, usually 250 ms, after which it may start no further
// attempt at a backend that is draining or was removed. The timeouts of this package follow from that.
//
// watcher.go contains the watch, stream.go reads its messages, decode.go decodes them, and backoff.go decides when a
// watch that ended is opened again.
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
	// maxKnownDelay is the time after which a change counts as known to the limiter, whether or not it was received.
	maxKnownDelay = 6 * time.Second
	// defaultSilenceTimeout is the time without a byte after which a watch is canceled. It is longer than the 2 s
	// between the empty lines that discovery sends, and much shorter than maxKnownDelay.
	defaultSilenceTimeout = 3 * time.Second
	// dialTimeout bounds the connect to discovery, which runs on this machine.
	dialTimeout = time.Second
)

var (
	// errInvalidMessage ends a watch on which a message was cut off or could not be decoded.
	errInvalidMessage = errors.New("watch: invalid message")
	// errRejected ends a watch that discovery answered with an error status.
	errRejected = errors.New("watch: rejected")
	// errSilent is the cause with which a watch without data is canceled.
	errSilent = errors.New("no data from discovery within the silence timeout")
)

// A Watcher keeps a watch open. The caller sets the exported fields and calls Run in a goroutine, which returns when
// its context ends.
type Watcher struct {
	Addr           string           // host:port of discovery; Run changes it after SetAddr
	Origin         time.Time        // see Decode
	Generation     int64            // of the last message received; 0 requests the complete list
	Post           func(core.Event) // called with a core.EndpointsUpdated for each message
	Log            *zap.Logger
	Limiters       int                   // number of limiters that watch the same discovery
	random         func() float64        // overrides the random source, in [0, 1); nil for rand.Float64
	silenceTimeout time.Duration         // overrides defaultSilenceTimeout; 0 for the default
	sleepOverride  func(d time.Duration) // called for each pause, instead of waiting; for tests
	starts         *startTimes           // of the goroutine of Run

	mu          sync.Mutex
	nextAddr    string             // address of the last SetAddr; empty once Run has switched to it
	cancelWatch context.CancelFunc // ends the open watch, or the pause after it
}

// SetAddr ends the watch and makes Run open one at another address.
func (w *Watcher) SetAddr(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextAddr = addr
	if w.cancelWatch != nil {
		w.cancelWatch()
	}
}

// startWatch returns a context for one watch and the pause after it. The next SetAddr cancels that context. startWatch
// also reports whether SetAddr was called since the last startWatch. After SetAddr the complete list is requested,
// because the generations of one discovery mean nothing at another.
func (w *Watcher) startWatch(ctx context.Context) (watchCtx context.Context, moved bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	moved = w.nextAddr != ""
	if moved {
		w.Addr, w.Generation, w.nextAddr = w.nextAddr, 0, ""
	}
	if w.cancelWatch != nil {
		w.cancelWatch()
	}
	watchCtx, w.cancelWatch = context.WithCancel(ctx)
	return watchCtx, moved
}

// Run keeps a watch open until ctx ends. While no watch is open, the list that was posted last stays in effect.
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
	if w.starts == nil {
		w.starts = newStartTimes(w.Origin)
	}
	pauses := newBackoff(w.Limiters, w.random)
	for ctx.Err() == nil {
		watchCtx, moved := w.startWatch(ctx)
		if moved {
			pauses.reset()
		}
		messages, err := w.watch(watchCtx, transport)
		if ctx.Err() != nil {
			return
		}
		if watchCtx.Err() != nil { // canceled by SetAddr
			continue
		}
		w.Log.Warn("endpoint watch ended", zap.Int("messages", messages), zap.Error(err))
		if messages > 0 || errors.Is(err, errInvalidMessage) {
			pauses.reset()
		}
		w.pause(watchCtx, pauses, err)
	}
}

// pause waits before the next watch, after the previous one ended with an error.
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

// watch opens a watch, reads it until it ends, posts each message, and returns the number of messages read. The error
// is never nil.
func (w *Watcher) watch(ctx context.Context, transport *http.Transport) (messages int, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timeout := w.silenceTimeout
	if timeout == 0 {
		timeout = defaultSilenceTimeout
	}
	// TCP does not detect that discovery has become unreachable, so silence ends the watch.
	silenceTimer := time.AfterFunc(timeout, func() { cancel(errSilent) })
	defer silenceTimer.Stop()

	response, err := w.open(ctx, transport)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }() // the stream has ended
	stream := newStream(response.Body, timeout, silenceTimer)
	for {
		list, err := stream.next(w.starts)
		if errors.Is(err, errInvalidMessage) {
			w.Generation = 0 // the change is unknown, so the complete list is requested next
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

// open requests all messages after w.Generation.
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
		_ = response.Body.Close() // the body is not needed
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
