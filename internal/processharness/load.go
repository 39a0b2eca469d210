package processharness

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// A Load sends reqs at a steady pace whatever becomes of them, over connections that are kept
// and used again, the longest unused first, so that all of them are used.
type Load struct {
	tier *Tier
	gap  time.Duration
	ask  func(n int) Req
	stop chan struct{}
	all  sync.WaitGroup

	// Resends has a req sent once more, on a new connection, where a kept one ended without a byte of
	// an answer: a limiter may end one between reqs while the next is on its way to it.
	Resends bool

	mu      sync.Mutex
	Resent  int
	idle    [][]*session // by limiter
	Results []Result
	each    func(Result)
}

// A Req is one to be sent.
type Req struct {
	Limiter  int
	Class    string
	Plan     string
	Customer uint64
	Key      string
	First    int
	Spread   int
	Body     int
	Units    int // 0 for one
}

// A Result is what came of it.
type Result struct {
	Req
	ID     string
	At     time.Time // when its last byte was written
	Took   time.Duration
	Status int    // 0 where no whole answer came
	Fault  string // what happened to the connection, empty for nothing
	Body   string
}

type session struct {
	net.Conn
	r *bufio.Reader
}

// Begin sends so many reqs a second until End.
func (x *Tier) Begin(perSecond float64, ask func(n int) Req) *Load {
	l := &Load{
		tier: x, gap: time.Duration(float64(time.Second) / perSecond), ask: ask, stop: make(chan struct{}),
		idle: make([][]*session, len(x.Limiters)),
	}
	l.all.Add(1)
	go l.run()
	return l
}

// Each hands each result on as it comes, in place of keeping it, and from any goroutine.
func (l *Load) Each(f func(Result)) {
	l.mu.Lock()
	l.each = f
	l.mu.Unlock()
}

func (l *Load) run() {
	defer l.all.Done()
	begin := time.Now()
	for n := 0; ; n++ {
		if wait := time.Until(begin.Add(time.Duration(n) * l.gap)); wait > 0 {
			select {
			case <-l.stop:
				return
			case <-time.After(wait):
			}
		}
		l.all.Add(1)
		go func() {
			defer l.all.Done()
			res := l.one(n)
			l.mu.Lock()
			each := l.each
			if each == nil {
				l.Results = append(l.Results, res)
			}
			l.mu.Unlock()
			if each != nil {
				each(res)
			}
		}()
	}
}

// End stops sending and returns what came of all, in the order of their sending.
func (l *Load) End() []Result {
	close(l.stop)
	l.all.Wait()
	for _, list := range l.idle {
		for _, s := range list {
			s.Close()
		}
	}
	slices.SortFunc(l.Results, func(a, b Result) int { return a.At.Compare(b.At) })
	return l.Results
}

func (l *Load) one(n int) Result {
	q := l.ask(n)
	id := fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, n)
	s, kept, err := l.session(q.Limiter)
	if err != nil {
		return Result{Req: q, ID: id, At: time.Now(), Fault: "connect: " + err.Error()}
	}
	res, ended := l.send(q, id, s)
	if !ended || !kept || !l.Resends {
		return res
	}
	l.mu.Lock()
	l.Resent++
	l.mu.Unlock()
	c, err := net.DialTimeout("tcp", l.tier.Limiters[q.Limiter].Addr, 2*time.Second)
	if err != nil {
		return res
	}
	res, _ = l.send(q, id, &session{c, bufio.NewReader(c)})
	return res
}

// send sends a req on a connection. Ended tells that this ended with no byte of an answer.
func (l *Load) send(q Req, id string, s *session) (res Result, ended bool) {
	res = Result{Req: q, ID: id, At: time.Now()}
	s.SetDeadline(time.Now().Add(5 * time.Second))
	method, budget := "GET", 2000
	if q.Class == "post" {
		method, budget = "POST", 3000
	}
	text := fmt.Sprintf("%s /%s/%016x HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: %s\r\nPlan: %s\r\nX-Budget: %dm\r\nQuota-Info: units=%d,spread=%d,first=%d\r\n",
		method, q.Class, q.Customer, res.ID, q.Plan, budget, max(q.Units, 1), max(q.Spread, 1), q.First)
	if q.Key != "" {
		text += "Idempotency-Key: " + q.Key + "\r\n"
	}
	if method == "POST" {
		text += fmt.Sprintf("Content-Length: %d\r\n", q.Body)
	}
	if _, err := io.WriteString(s, text+"\r\n"+strings.Repeat("x", q.Body)); err != nil {
		res.Fault = "write: " + err.Error()
		s.Close()
		return res, true
	}
	res.At = time.Now()
	_, none := s.r.Peek(1)
	resp, err := http.ReadResponse(s.r, nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
	}
	res.Took = time.Since(res.At)
	if err != nil {
		res.Fault = "read: " + err.Error()
		s.Close()
		return res, none != nil
	}
	res.Status, res.Body = resp.StatusCode, string(body)
	if resp.Close {
		s.Close()
		return res, false
	}
	l.mu.Lock()
	l.idle[q.Limiter] = append(l.idle[q.Limiter], s)
	l.mu.Unlock()
	return res, false
}

// session gives the connection longest unused, which is a kept one, or a new one. One that was closed in between is
// no fault: a limiter may do so, and the client sees it before it writes.
func (l *Load) session(limiter int) (s *session, kept bool, err error) {
	for {
		l.mu.Lock()
		if len(l.idle[limiter]) == 0 {
			l.mu.Unlock()
			c, err := net.DialTimeout("tcp", l.tier.Limiters[limiter].Addr, 2*time.Second)
			if err != nil {
				return nil, false, err
			}
			return &session{c, bufio.NewReader(c)}, false, nil
		}
		s := l.idle[limiter][0]
		l.idle[limiter] = l.idle[limiter][1:]
		l.mu.Unlock()
		s.SetReadDeadline(time.Now().Add(50 * time.Microsecond))
		if _, err := s.r.Peek(1); err != nil {
			if e, ok := err.(net.Error); ok && e.Timeout() {
				return s, true, nil
			}
		}
		s.Close()
	}
}

// Warm opens connections to a limiter and leaves them unused.
func (l *Load) Warm(limiter, n int) error {
	for range n {
		c, err := net.DialTimeout("tcp", l.tier.Limiters[limiter].Addr, 2*time.Second)
		if err != nil {
			return err
		}
		l.mu.Lock()
		l.idle[limiter] = append(l.idle[limiter], &session{c, bufio.NewReader(c)})
		l.mu.Unlock()
	}
	return nil
}
