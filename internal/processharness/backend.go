package processharness

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Backend is a fake backend that responds to attempts and records them.
type Backend struct {
	ID   string
	addr string
	tier *Tier

	server    *httptest.Server // the current one
	startedAt time.Time        // as the endpoint list tells; zero for long ago

	mu              sync.Mutex
	delay           time.Duration
	padding         int           // spaces behind each response
	paddingDuration time.Duration // which they take
	abortsConns     bool
	attempts        []Attempt
	spans           []AttemptSpan
	leasedAttempts  []LeasedAttempt
}

// AttemptSpan is the time during which an attempt was in flight: from the last byte of its request until its response
// was written or its connection ended.
type AttemptSpan struct {
	Attempt
	End    time.Time // zero while the attempt is in flight
	Closed bool      // the connection ended before the response was written; End is when the backend noticed
}

// LeasedAttempt is an attempt that arrived under a lease.
type LeasedAttempt struct {
	ArrivedAt, RespondedAt time.Time // when the attempt arrived, and when its response began
	Token                  uint64    // fencing token
}

// Attempt is an attempt that arrived at a backend.
type Attempt struct {
	ArrivedAt time.Time
	CallID    string
	Customer  string
	IsKeyed   bool // the request has an idempotency key
}

// listenAttempts limits how often listen tries another address.
const listenAttempts = 20

// newBackend starts a backend that is shut down when the host ends.
func newBackend(tier *Tier, number int) *Backend {
	b := &Backend{ID: fmt.Sprintf("b%d", number), tier: tier}
	b.serve(b.listen())
	return b
}

// listen chooses the address of the backend and listens there. freeAddr checks an address by opening a socket and
// closing it again. A process that is being started may still hold that socket, so the address may be in use.
func (b *Backend) listen() net.Listener {
	for tries := 0; ; tries++ {
		b.addr = freeAddr(b.tier.Host, "tcp")
		listener, err := net.Listen("tcp4", b.addr)
		if err == nil {
			return listener
		}
		if tries > listenAttempts {
			b.tier.Host.Fatal(err)
		}
	}
}

// serve starts a server that is closed when the host ends.
func (b *Backend) serve(listener net.Listener) {
	server := &httptest.Server{Listener: listener, Config: &http.Server{Handler: b}}
	server.Start()
	b.server = server
	b.tier.Host.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
}

// startedAtMS returns the time of the start in the form of the endpoint list.
func (b *Backend) startedAtMS() int64 {
	if b.startedAt.IsZero() {
		return 0
	}
	return b.startedAt.UnixMilli()
}

// SetDelay sets how long the backend takes to respond.
func (b *Backend) SetDelay(d time.Duration) {
	b.mu.Lock()
	b.delay = d
	b.mu.Unlock()
}

// SetPadding sets the number of spaces that follow each response, and how long they take. Their end shows a complete response.
func (b *Backend) SetPadding(bytes int, duration time.Duration) {
	b.mu.Lock()
	b.padding, b.paddingDuration = bytes, duration
	b.mu.Unlock()
}

// ServeHTTP responds with the X-Call-Id of the request and the size of its body in bytes, after the backend's delay or
// MinServiceTime, whichever is longer.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body) // the size in the response shows a truncated body
	callID := r.Header.Get("X-Call-Id")
	if token, err := strconv.ParseUint(r.Header.Get("X-Lease-Token"), 10, 64); err == nil {
		defer b.recordLeasedAttempt(time.Now(), token)
	}
	customer := r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
	key := r.Header.Get("Idempotency-Key")
	attempt := Attempt{ArrivedAt: time.Now(), CallID: callID, Customer: customer, IsKeyed: key != ""}
	delay := b.recordAttempt(attempt)
	if minServiceTime := b.tier.MinServiceTime; minServiceTime != nil {
		delay = max(delay, minServiceTime(attempt))
	}
	defer b.trackAttempt(r.Context(), attempt)()
	if key != "" {
		b.tier.keys.record(key)
	}
	time.Sleep(delay)
	if b.isAbortingConns() {
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	if b.tier.ReportUtilization {
		w.Header().Set("X-Load-Report", "TEXT util=0.3")
	}
	b.respond(w, fmt.Sprintf("%s %d", callID, len(body)))
}

// respond writes a text and the padding, all but the last byte of it at once. A limiter may have closed the connection.
func (b *Backend) respond(w http.ResponseWriter, text string) {
	b.mu.Lock()
	padding, duration := strings.Repeat(" ", b.padding), b.paddingDuration
	b.mu.Unlock()
	w.Header().Set("Content-Length", strconv.Itoa(len(text)+len(padding)))
	_, _ = io.WriteString(w, text)
	if padding == "" {
		return
	}
	_, _ = io.WriteString(w, padding[1:])
	_ = http.NewResponseController(w).Flush()
	time.Sleep(duration)
	_, _ = io.WriteString(w, padding[:1])
}

// recordAttempt records an attempt, and returns the backend's current delay.
func (b *Backend) recordAttempt(attempt Attempt) (delay time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.attempts = append(b.attempts, attempt)
	return b.delay
}

// trackAttempt records that an attempt is in flight. The caller calls end when it has written the response. If the
// connection ends earlier, the attempt ends at that time.
func (b *Backend) trackAttempt(ctx context.Context, attempt Attempt) (end func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	index := len(b.spans)
	b.spans = append(b.spans, AttemptSpan{Attempt: attempt})
	finish := func(closed bool) {
		b.mu.Lock()
		defer b.mu.Unlock()
		if span := &b.spans[index]; span.End.IsZero() {
			span.End, span.Closed = time.Now(), closed
		}
	}
	stop := context.AfterFunc(ctx, func() { finish(true) })
	return func() {
		stop()
		finish(false)
	}
}

// recordLeasedAttempt records an attempt under a lease whose response begins now.
func (b *Backend) recordLeasedAttempt(arrivedAt time.Time, token uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leasedAttempts = append(b.leasedAttempts, LeasedAttempt{ArrivedAt: arrivedAt, RespondedAt: time.Now(), Token: token})
}

func (b *Backend) isAbortingConns() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.abortsConns
}

// SetDown stops listening and closes all connections if down is true; otherwise it listens again at the same address.
func (b *Backend) SetDown(down bool) {
	if down {
		_ = b.server.Listener.Close() // it may be closed already
		b.server.CloseClientConnections()
		return
	}
	listener, err := net.Listen("tcp", b.addr)
	if err != nil {
		b.tier.Host.Errorf("backend: %v", err)
		return
	}
	b.serve(listener)
}

// AbortConns closes all connections of the backend. From then on it closes the connection instead of sending a response.
func (b *Backend) AbortConns() {
	b.mu.Lock()
	b.abortsConns = true
	b.mu.Unlock()
	b.server.CloseClientConnections()
}
