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
	// keyedBudget is the budget of requests of ClassKeyed, and usualBudget that of all others.
	usualBudget = 2 * time.Second
	keyedBudget = 3 * time.Second
)

// Load sends requests at a constant rate, whatever their results, over connections that it keeps open. It uses the
// connection that has been idle longest first, so that it uses all of them.
type Load struct {
	// Resent counts the requests that were resent, see EnableResend.
	Resent int
	// Results are the results so far, in the order in which they were recorded. End sorts them.
	Results []Result

	tier        *Tier
	interval    time.Duration // between the starts of two requests
	makeRequest func(n int) Request
	stop        chan struct{} // closed by End
	senders     sync.WaitGroup

	mu            sync.Mutex      // protects Resent, Results and the fields below
	resendEnabled bool            // see EnableResend
	idle          [][]*clientConn // by limiter, the one idle longest first
	onResult      func(Result)    // nil to append to Results
}

// Request is a request to be sent.
type Request struct {
	Limiter         int // number of the limiter that the request is sent to
	Class           string
	Plan            string
	Customer        uint64
	Key             string // idempotency key, "" for none
	FirstLimiter    int    // first limiter of the customer's set
	SetSize         int    // limiters in the customer's set, 0 for one
	Body            int    // bytes
	Units           int    // 0 for one
	Mode            ClientMode
	DisconnectAfter time.Duration // see Disconnecting
}

// ClientMode is how the client of a request uses its connection.
type ClientMode int

// The client modes.
const (
	Normal        ClientMode = iota
	Disconnecting            // closes the connection after DisconnectAfter if the response has not arrived by then
	HalfClosing              // closes the sending side after the request
	Pipelining               // sends a second request, like the first, immediately after it
)

// Result describes the response to a request, or why there was none.
type Result struct {
	Request
	ID             string
	SentAt         time.Time     // when the last byte of the request was written
	Took           time.Duration // from SentAt until the response was read or the read failed
	Status         int           // 0 if no complete response was read
	ConnError      string        // error on the connection, "" for none
	Body           string
	DisconnectedAt time.Time // when the client closed the connection; zero if it did not disconnect

	timedOut bool // a deadline of the client passed
}

// StartLoad starts sending requests, perSecond of them each second, until End is called. makeRequest returns the
// request with number n.
func (tier *Tier) StartLoad(perSecond float64, makeRequest func(n int) Request) *Load {
	l := &Load{
		tier:        tier,
		interval:    time.Duration(float64(time.Second) / perSecond),
		makeRequest: makeRequest,
		stop:        make(chan struct{}),
		idle:        make([][]*clientConn, len(tier.Limiters)),
	}
	l.senders.Go(l.run)
	return l
}

// EnableResend makes the load resend a request on a new connection from now on if a reused connection was closed
// before the first byte of the response: a limiter may close an idle connection before a request arrives that the
// client has already written.
func (l *Load) EnableResend() {
	l.mu.Lock()
	l.resendEnabled = true
	l.mu.Unlock()
}

// OnResult passes each result to f as it arrives instead of keeping it. f is called from any goroutine.
func (l *Load) OnResult(f func(Result)) {
	l.mu.Lock()
	l.onResult = f
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
		l.senders.Go(func() { l.sendNumber(n) })
	}
}

// countResend reports whether a request is to be resent, and counts it in that case.
func (l *Load) countResend() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.resendEnabled {
		l.Resent++
	}
	return l.resendEnabled
}

// record appends a result to Results, or passes it to the function that was given to OnResult.
func (l *Load) record(result Result) {
	l.mu.Lock()
	onResult := l.onResult
	if onResult == nil {
		l.Results = append(l.Results, result)
	}
	l.mu.Unlock()
	if onResult != nil {
		onResult(result)
	}
}

// End stops sending, waits for all responses and returns the results in the order in which the requests were sent.
func (l *Load) End() []Result {
	close(l.stop)
	l.senders.Wait()
	for _, conns := range l.idle {
		for _, c := range conns {
			c.close()
		}
	}
	slices.SortFunc(l.Results, func(a, b Result) int { return a.SentAt.Compare(b.SentAt) })
	return l.Results
}

// sendNumber sends the request with number n, and records its result.
func (l *Load) sendNumber(n int) {
	request := l.makeRequest(n)
	id := fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, n)
	conn, kept, err := l.connection(request.Limiter)
	if err != nil {
		l.record(Result{Request: request, ID: id, SentAt: time.Now(), ConnError: "connect: " + err.Error()})
		return
	}
	if request.Mode == Pipelining {
		l.sendPair(request, id, conn, kept)
		return
	}
	result, closed := l.send(request, id, conn)
	l.finish(result, closed && kept)
}

// finish records a result. If closed is set, a reused connection was closed before the first byte of the response. In
// that case, and if EnableResend was called, finish first resends the request and records the result of that.
func (l *Load) finish(result Result, closed bool) {
	if closed && l.countResend() {
		if conn, err := l.connect(result.Limiter); err == nil {
			result, _ = l.send(result.Request, result.ID, conn)
		}
	}
	l.record(result)
}

// sendPair sends a request and a second one like it together. The result of the second request counts its time from the
// response to the first one. A limiter may close the connection between the two responses.
func (l *Load) sendPair(first Request, id string, conn *clientConn, kept bool) {
	second, secondID := first, id[:8]+"f"+id[9:] // no request number is large enough to have this digit there
	if first.Key != "" {
		second.Key = "f" + first.Key[1:]
	}
	at, err := conn.write(requestText(first, id) + requestText(second, secondID))
	if err != nil {
		l.finish(Result{Request: first, ID: id, SentAt: at, ConnError: err.Error()}, kept)
		l.finish(Result{Request: second, ID: secondID, SentAt: at, ConnError: err.Error()}, kept)
		return
	}
	result, state := receive(Result{Request: first, ID: id, SentAt: at}, conn)
	l.finish(result, state == connUnanswered && kept)
	hasFirstResponse := result.Status > 0 // the limiter may close the connection after the first response
	if hasFirstResponse {
		at = result.SentAt.Add(result.Took)
		conn.setDeadline(time.Now().Add(requestTimeout))
	}
	result, state = receive(Result{Request: second, ID: secondID, SentAt: at}, conn)
	l.release(first.Limiter, conn, state)
	l.finish(result, state == connUnanswered && (hasFirstResponse || kept))
}

// send sends a request on a connection. closed reports that the connection was closed before the first byte of the
// response, or that the request could not be written.
func (l *Load) send(request Request, id string, conn *clientConn) (result Result, closed bool) {
	at, err := conn.write(requestText(request, id))
	if err != nil {
		conn.close()
		return Result{Request: request, ID: id, SentAt: at, ConnError: err.Error()}, true
	}
	switch request.Mode {
	case Disconnecting:
		conn.setDeadline(at.Add(request.DisconnectAfter))
	case HalfClosing:
		conn.endSending()
	}
	result, state := receive(Result{Request: request, ID: id, SentAt: at}, conn)
	if request.Mode == Normal {
		l.release(request.Limiter, conn, state)
	} else {
		conn.close()
	}
	if request.Mode == Disconnecting && result.timedOut {
		result.DisconnectedAt = time.Now()
	}
	return result, state == connUnanswered
}

// connState says whether a connection can be used again after a response.
type connState int

const (
	connUnanswered connState = iota // closed before the first byte of the response
	connEnded                       // not usable: the read failed, or the response closes the connection
	connOpen                        // usable for the next request
)

// receive reads the next response on a connection, and completes the result with it.
func receive(result Result, conn *clientConn) (Result, connState) {
	_, firstByteErr := conn.reader.Peek(1)
	resp, body, err := conn.readResponse()
	result.Took = time.Since(result.SentAt)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		result.ConnError, result.timedOut = "read: "+err.Error(), true
		return result, connEnded
	case err != nil:
		result.ConnError = "read: " + err.Error()
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

// release keeps a connection that can be used again, and closes any other.
func (l *Load) release(limiter int, conn *clientConn, state connState) {
	if state == connOpen {
		l.keepIdle(limiter, conn)
		return
	}
	conn.close()
}

// BudgetOf returns the budget that a request states: how long its client waits for the response.
func BudgetOf(r Request) time.Duration {
	if r.Class == ClassKeyed {
		return keyedBudget
	}
	return usualBudget
}

// requestText returns a request in the form in which it is written to a connection.
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

// OpenIdle opens connections to a limiter and keeps them idle.
func (l *Load) OpenIdle(limiter, count int) error {
	for range count {
		conn, err := l.connect(limiter)
		if err != nil {
			return err
		}
		l.keepIdle(limiter, conn)
	}
	return nil
}

// connection returns the connection that has been idle longest, with kept set, or a new one. It skips connections that
// were closed: a limiter may close one between requests, and the client notices before it writes.
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

// takeIdle removes and returns the connection that has been idle longest, or nil if there is none.
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

// keepIdle keeps an idle connection for later requests.
func (l *Load) keepIdle(limiter int, conn *clientConn) {
	l.mu.Lock()
	l.idle[limiter] = append(l.idle[limiter], conn)
	l.mu.Unlock()
}

// connect opens a connection to a limiter.
func (l *Load) connect(limiter int) (*clientConn, error) {
	return dialClient(l.tier.Limiters[limiter].Addr)
}
