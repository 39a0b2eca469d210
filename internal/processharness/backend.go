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

// Backend is the stand-in of a backend: it responds to attempts and records them.
type Backend struct {
	ID   string
	addr string
	tier *Tier

	server *httptest.Server // the current one

	mu       sync.Mutex
	delay    time.Duration
	broken   bool
	attempts []Attempt
	flights  []Flight
	acts     []LeasedAttempt
}

// Flight is the time in which an attempt was in flight: from its last byte until its response was written or
// its connection ended.
type Flight struct {
	Attempt
	End    time.Time // zero while it is in flight
	Closed bool      // its connection ended before its response was written, seen by the backend at End
}

// LeasedAttempt is an attempt that arrived under a lease.
type LeasedAttempt struct {
	At, End time.Time // when it arrived, and when its response was begun
	Token   uint64    // fencing token
}

// Attempt is an attempt that arrived at a backend.
type Attempt struct {
	At       time.Time
	CallID   string
	Customer string
	IsKeyed  bool // it has an idempotency key
}

// listenAttempts is how many addresses newBackend tries.
const listenAttempts = 20

// newBackend starts a backend, which ends with the test.
func newBackend(tier *Tier, number int) *Backend {
	b := &Backend{ID: fmt.Sprintf("b%d", number), tier: tier}
	b.serve(b.listen())
	return b
}

// listen chooses the address of the backend. A process that is just being started may still have a socket
// that was closed here, so that an address may be in use again.
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

// serve starts a server, which ends with the test.
func (b *Backend) serve(listener net.Listener) {
	server := &httptest.Server{Listener: listener, Config: &http.Server{Handler: b}}
	server.Start()
	b.server = server
	b.tier.Host.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
}

// Delay sets how long a response takes.
func (b *Backend) Delay(d time.Duration) {
	b.mu.Lock()
	b.delay = d
	b.mu.Unlock()
}

// ServeHTTP responds with the ID of the request and the size of its body in bytes.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body) // the client sees a body that was cut short by its size
	callID := r.Header.Get("X-Call-Id")
	if token, err := strconv.ParseUint(r.Header.Get("X-Lease-Token"), 10, 64); err == nil {
		defer b.recordAct(time.Now(), token)
	}
	customer := r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
	key := r.Header.Get("Idempotency-Key")
	attempt := Attempt{At: time.Now(), CallID: callID, Customer: customer, IsKeyed: key != ""}
	delay := b.recordAttempt(attempt)
	if work := b.tier.Work; work != nil {
		delay = max(delay, work(attempt))
	}
	defer b.trackFlight(r.Context(), attempt)()
	if key != "" {
		b.tier.keys.record(key)
	}
	time.Sleep(delay)
	if b.isBroken() {
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	if b.tier.ReportUtilization {
		w.Header().Set("X-Load-Report", "TEXT util=0.3")
	}
	_, _ = fmt.Fprintf(w, "%s %d", callID, len(body)) // a limiter may have closed the connection
}

// recordAttempt records an attempt, and returns how long its response takes.
func (b *Backend) recordAttempt(attempt Attempt) (delay time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.attempts = append(b.attempts, attempt)
	return b.delay
}

// trackFlight records an attempt in flight, and returns the function that ends it unless its connection ends
// before.
func (b *Backend) trackFlight(connection context.Context, attempt Attempt) (end func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	number := len(b.flights)
	b.flights = append(b.flights, Flight{Attempt: attempt})
	land := func(closed bool) {
		b.mu.Lock()
		defer b.mu.Unlock()
		if flight := &b.flights[number]; flight.End.IsZero() {
			flight.End, flight.Closed = time.Now(), closed
		}
	}
	stop := context.AfterFunc(connection, func() { land(true) })
	return func() {
		stop()
		land(false)
	}
}

// recordAct records an attempt under a lease, whose response is begun now.
func (b *Backend) recordAct(arrivedAt time.Time, token uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.acts = append(b.acts, LeasedAttempt{At: arrivedAt, End: time.Now(), Token: token})
}

func (b *Backend) isBroken() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.broken
}

// Down stops listening at the backend's address and closes its connections, or listens again.
func (b *Backend) Down(down bool) {
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

// Break closes all connections of the backend, and each later one instead of a response.
func (b *Backend) Break() {
	b.mu.Lock()
	b.broken = true
	b.mu.Unlock()
	b.server.CloseClientConnections()
}
