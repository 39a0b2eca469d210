package processharness

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// requestTimeout is how long a client waits for a response.
	requestTimeout = 5 * time.Second
	// usualBudget and keyedBudget are the budgets of requests, by their class.
	usualBudget = 2 * time.Second
	keyedBudget = 3 * time.Second
)

// Load sends requests at a constant rate whatever comes of them, over connections that are kept. The one
// that is idle longest is used first, so that all of them are used.
type Load struct {
	// Resent counts the requests that were sent again, see Resend.
	Resent int
	// Results are those so far, in no order.
	Results []Result

	tier        *Tier
	interval    time.Duration
	makeRequest func(n int) Request
	stop        chan struct{} // closed by End
	running     sync.WaitGroup

	mu      sync.Mutex      // of Resent, Results and what follows
	resends bool            // see Resend
	idle    [][]*clientConn // by limiter, the one idle longest first
	each    func(Result)    // nil to keep Results
}

// Request is a request to be sent.
type Request struct {
	Limiter      int // that it is sent to
	Class        string
	Plan         string
	Customer     uint64
	Key          string // idempotency key, "" for none
	FirstLimiter int    // first limiter of the customer's set
	SetSize      int    // limiters in the customer's set, 0 for one
	Body         int    // bytes
	Units        int    // 0 for one
	Manner       Manner
	LeaveAfter   time.Duration // see Leaving
}

// Manner is how the client of a request uses its connection.
type Manner int

// The manners.
const (
	Usual       Manner = iota
	Leaving            // closes the connection after LeaveAfter, if the response has not come by then
	HalfClosing        // ends its sending behind the request
	Pipelining         // sends a second request, like the first, right behind it
)

// Result is what came of a request.
type Result struct {
	Request
	ID     string
	At     time.Time // when its last byte was written
	Took   time.Duration
	Status int    // 0 without a complete response
	Fault  string // what happened to the connection, "" for nothing
	Body   string
	Left   time.Time // when the client closed the connection; zero if it did not leave

	timedOut bool // the client waited no longer
}

// StartLoad sends requests until End, at a rate per second. makeRequest makes the request of each number.
func (tier *Tier) StartLoad(perSecond float64, makeRequest func(n int) Request) *Load {
	l := &Load{
		tier:        tier,
		interval:    time.Duration(float64(time.Second) / perSecond),
		makeRequest: makeRequest,
		stop:        make(chan struct{}),
		idle:        make([][]*clientConn, len(tier.Limiters)),
	}
	l.running.Go(l.run)
	return l
}

// Resend has a request sent again from now on, on a new connection, where a kept one was closed without a byte
// of a response: a limiter may close one between requests while the next is on its way to it.
func (l *Load) Resend() {
	l.mu.Lock()
	l.resends = true
	l.mu.Unlock()
}

// Each hands over each result as it comes instead of keeping it, from any goroutine.
func (l *Load) Each(f func(Result)) {
	l.mu.Lock()
	l.each = f
	l.mu.Unlock()
}

// run starts a goroutine for each request, until End.
func (l *Load) run() {
	begin := time.Now()
	for n := 0; ; n++ {
		if wait := time.Until(begin.Add(time.Duration(n) * l.interval)); wait > 0 {
			select {
			case <-l.stop:
				return
			case <-time.After(wait):
			}
		}
		l.running.Go(func() { l.sendNumber(n) })
	}
}

// countResend counts a request that is sent again, and reports whether it is to be.
func (l *Load) countResend() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.resends {
		l.Resent++
	}
	return l.resends
}

// record keeps a result, or hands it over.
func (l *Load) record(result Result) {
	l.mu.Lock()
	each := l.each
	if each == nil {
		l.Results = append(l.Results, result)
	}
	l.mu.Unlock()
	if each != nil {
		each(result)
	}
}

// End stops sending, waits for all responses and returns the results in the order of their sending.
func (l *Load) End() []Result {
	close(l.stop)
	l.running.Wait()
	for _, conns := range l.idle {
		for _, c := range conns {
			c.close()
		}
	}
	slices.SortFunc(l.Results, func(a, b Result) int { return a.At.Compare(b.At) })
	return l.Results
}

// sendNumber sends the request of a number, and records what came of it.
func (l *Load) sendNumber(n int) {
	request := l.makeRequest(n)
	id := fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, n)
	conn, kept, err := l.connection(request.Limiter)
	if err != nil {
		l.record(Result{Request: request, ID: id, At: time.Now(), Fault: "connect: " + err.Error()})
		return
	}
	if request.Manner == Pipelining {
		l.sendPair(request, id, conn, kept)
		return
	}
	result, closed := l.send(request, id, conn)
	l.finish(result, closed && kept)
}

// finish records a result. If the connection was closed over its request, that is sent again if it is to be
// resent.
func (l *Load) finish(result Result, closed bool) {
	if closed && l.countResend() {
		if conn, err := l.connect(result.Limiter); err == nil {
			result, _ = l.send(result.Request, result.ID, conn)
		}
	}
	l.record(result)
}

// sendPair sends a request and a second one like it at once. The time of the second one counts from the response
// to the first. A limiter may close the connection between the two.
func (l *Load) sendPair(first Request, id string, conn *clientConn, kept bool) {
	second, secondID := first, id[:8]+"f"+id[9:] // numbers of requests are smaller
	if first.Key != "" {
		second.Key = "f" + first.Key[1:]
	}
	at, err := conn.write(requestText(first, id) + requestText(second, secondID))
	if err != nil {
		l.finish(Result{Request: first, ID: id, At: at, Fault: err.Error()}, kept)
		l.finish(Result{Request: second, ID: secondID, At: at, Fault: err.Error()}, kept)
		return
	}
	result, state := receive(Result{Request: first, ID: id, At: at}, conn)
	l.finish(result, state == connUnanswered && kept)
	isBetween := result.Status > 0 // the connection may be closed now
	if isBetween {
		at = result.At.Add(result.Took)
		conn.setDeadline(time.Now().Add(requestTimeout))
	}
	result, state = receive(Result{Request: second, ID: secondID, At: at}, conn)
	l.release(first.Limiter, conn, state)
	l.finish(result, state == connUnanswered && (isBetween || kept))
}

// send sends a request on a connection. closed reports that this was closed without a byte of a response.
func (l *Load) send(request Request, id string, conn *clientConn) (result Result, closed bool) {
	at, err := conn.write(requestText(request, id))
	if err != nil {
		conn.close()
		return Result{Request: request, ID: id, At: at, Fault: err.Error()}, true
	}
	switch request.Manner {
	case Leaving:
		conn.setDeadline(at.Add(request.LeaveAfter))
	case HalfClosing:
		conn.endSending()
	}
	result, state := receive(Result{Request: request, ID: id, At: at}, conn)
	if request.Manner == Usual {
		l.release(request.Limiter, conn, state)
	} else {
		conn.close()
	}
	if request.Manner == Leaving && result.timedOut {
		result.Left = time.Now()
	}
	return result, state == connUnanswered
}

// connState is what a connection is good for after a response.
type connState int

const (
	connUnanswered connState = iota // it was closed without a byte of the response
	connEnded
	connOpen
)

// receive completes a result by the response that comes next on a connection.
func receive(result Result, conn *clientConn) (Result, connState) {
	_, firstByteErr := conn.reader.Peek(1)
	resp, body, err := conn.readResponse()
	result.Took = time.Since(result.At)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		result.Fault, result.timedOut = "read: "+err.Error(), true
		return result, connEnded
	case err != nil:
		result.Fault = "read: " + err.Error()
		if firstByteErr != nil {
			return result, connUnanswered
		}
		return result, connEnded
	}
	result.Status, result.Body = resp.StatusCode, body
	if resp.Close {
		return result, connEnded
	}
	return result, connOpen
}

// release keeps a connection that may be used again, and closes any other.
func (l *Load) release(limiter int, conn *clientConn, state connState) {
	if state == connOpen {
		l.keep(limiter, conn)
		return
	}
	conn.close()
}

// BudgetOf is how long the client of a request waits for the response, as it tells the limiter.
func BudgetOf(r Request) time.Duration {
	if r.Class == ClassKeyed {
		return keyedBudget
	}
	return usualBudget
}

// requestText is a request as it is written to a connection.
func requestText(r Request, id string) string {
	method := http.MethodPost
	if r.Class == ClassIdempotent {
		method = http.MethodGet
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s /%s/%016x HTTP/1.1\r\nHost: backend.local\r\n", method, r.Class, r.Customer)
	fmt.Fprintf(&b, "X-Call-Id: %s\r\nPlan: %s\r\nX-Budget: %dm\r\n", id, r.Plan, BudgetOf(r).Milliseconds())
	fmt.Fprintf(&b, "Quota-Info: units=%d,spread=%d,first=%d\r\n", max(r.Units, 1), max(r.SetSize, 1), r.FirstLimiter)
	if r.Key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", r.Key)
	}
	if method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", r.Body)
	}
	b.WriteString("\r\n" + strings.Repeat("x", r.Body))
	return b.String()
}

// Warm opens connections to a limiter and keeps them idle.
func (l *Load) Warm(limiter, count int) error {
	for range count {
		conn, err := l.connect(limiter)
		if err != nil {
			return err
		}
		l.keep(limiter, conn)
	}
	return nil
}

// connection returns the connection that is idle longest, or a new one. It is no fault if a kept one was
// closed: a limiter may do so between requests, and the client sees it before it writes.
func (l *Load) connection(limiter int) (conn *clientConn, kept bool, err error) {
	for {
		conn := l.takeIdle(limiter)
		if conn == nil {
			conn, err := l.connect(limiter)
			return conn, false, err
		}
		if conn.isOpen() {
			return conn, true, nil
		}
		conn.close()
	}
}

// takeIdle takes the connection that is idle longest, nil if there is none.
func (l *Load) takeIdle(limiter int) *clientConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := l.idle[limiter]
	if len(conns) == 0 {
		return nil
	}
	l.idle[limiter] = conns[1:]
	return conns[0]
}

// keep keeps an idle connection.
func (l *Load) keep(limiter int, conn *clientConn) {
	l.mu.Lock()
	l.idle[limiter] = append(l.idle[limiter], conn)
	l.mu.Unlock()
}

// connect opens a connection to a limiter.
func (l *Load) connect(limiter int) (*clientConn, error) {
	return dialClient(l.tier.Limiters[limiter].Addr)
}
