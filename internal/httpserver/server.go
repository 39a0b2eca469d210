// Package httpserver takes reqs in over HTTP/1.1 and writes their answers. It
// checks their form, hands them to the reducer, and decides nothing else.
package httpserver

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"lemongate/internal/admission"
	"lemongate/internal/core"
	"lemongate/internal/upstream"
)

const (
	maxBody      = 64 << 10
	budgetMost   = time.Hour             // a longer one is no budget
	customerSize = 16                    // hex digits of a customer's name
	customerMost = 1 << 33               // customers are below this number
	budgetSlack  = 50 * time.Millisecond // beyond the class's deadline, which is not told to the microsecond
	quotaMost    = 1 << 20               // a larger number is none of a quota
	maxWord      = 256                   // of a header that is read
	maxNumber    = 24                    // digits
	closeEvery   = 5 * time.Millisecond  // looks at what is left while the front closes

	// A req that begins to be read has this long at least to be answered before the front is closed.
	lastCall = 200 * time.Millisecond
)

// Options set up a Front.
type Options struct {
	Settings    admission.Settings
	MaxUnits    float64 // of one req; 0 for no bound
	MaxConns    int     // client sessions open at once; 0 for no bound
	LastRequest uint64  // number that a process before this one gave a req at most
	Now         func() time.Duration
	Wall        func() time.Time // overrides the time by which client sessions are closed
	Post        func(core.Event)
	Log         *zap.Logger
}

// A Server serves the clients.
type Server struct {
	opt     Options
	classes map[string]*admission.Class
	plans   map[string]bool
	server  *http.Server
	ready   atomic.Bool
	closes  atomic.Bool   // accepts nothing more
	ends    atomic.Bool   // each answer is its session's last
	last    atomic.Uint64 // ReqID given

	sessions atomic.Pointer[sessions] // once it serves
	serves   chan struct{}            // closed then
	accepted chan struct{}            // closed once it accepts nothing more: all sessions are counted
	part     float64                  // of the client sessions allowed; guarded by mu
	lastCall time.Duration

	mu      sync.Mutex
	waiting map[core.RequestID]chan core.Respond
}

// New returns a Front that does not listen yet.
func New(opt Options) *Server {
	if opt.Wall == nil {
		opt.Wall = time.Now
	}
	f := &Server{
		opt: opt, classes: map[string]*admission.Class{}, plans: map[string]bool{},
		waiting: map[core.RequestID]chan core.Respond{}, serves: make(chan struct{}), accepted: make(chan struct{}), part: 1, lastCall: lastCall,
	}
	for i, c := range opt.Settings.Classes {
		f.classes[c.Name] = &opt.Settings.Classes[i]
	}
	for _, p := range opt.Settings.Plans {
		f.plans[p.Name] = true
	}
	f.last.Store(opt.LastRequest)
	// The handler stands alone: a ServeMux would redirect unclean paths. The
	// time to read a head ends with it; a time to read the whole req would run
	// on while the req waits for its answer, and its end looks like a client
	// that left.
	f.server = &http.Server{
		Handler: f, DisableGeneralOptionsHandler: true, // it would answer 200 to what is no req
		ReadHeaderTimeout: headWithin, IdleTimeout: idleWithin, MaxHeaderBytes: 16 << 10,
		ErrorLog:    zap.NewStdLog(opt.Log.Named("http")),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, sessionKey{}, c) },
		ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateIdle {
				c.(*session).rest()
			}
		},
	}
	return f
}

// sessionKey finds a req's client session in its context.
type sessionKey struct{}

func sessionOf(r *http.Request) *session { return r.Context().Value(sessionKey{}).(*session) }

// Serve accepts clients until Close.
func (f *Server) Serve(listener net.Listener) error {
	l := newSessions(listener, f.opt.MaxConns, f.opt.Wall)
	l.onClose = func(was sessionState) { f.opt.Post(&core.ClientConnClosed{Unread: was == silent || was == reading}) }
	l.onFull = func(told bool) { f.opt.Post(&core.ClientConnClosed{Unread: !told, Full: told}) }
	l.full = f.full()
	f.mu.Lock()
	l.share(f.part)
	f.sessions.Store(l)
	f.mu.Unlock()
	close(f.serves)
	go l.keepSweeping()
	defer close(f.accepted)
	defer listener.Close()
	defer l.Close()
	if err := f.server.Serve(l); !errors.Is(err, http.ErrServerClosed) && !f.closes.Load() {
		return fmt.Errorf("front: %w", err)
	}
	return nil
}

// full is what a newcomer is told for which there is no room.
func (f *Server) full() []byte {
	advice := ""
	if d := f.opt.Settings.MaxRetryAfter; d > 0 {
		advice = fmt.Sprintf("Retry-After: %.3f\r\n", d.Seconds())
	}
	return fmt.Appendf(nil, "HTTP/1.1 429 Too Many Requests\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n", advice)
}

// AdoptConn serves a client session that another process gave away between reqs.
func (f *Server) AdoptConn(c net.Conn) {
	<-f.serves
	l := f.sessions.Load()
	if s := l.admit(c, idle); s != nil {
		o := &one{Conn: s, addr: l.Addr()}
		f.server.Serve(o)
		o.Do(func() { s.Close() }) // the front has shut down
	}
}

// one is a listener that one client comes to.
type one struct {
	net.Conn
	addr net.Addr
	sync.Once
}

func (o *one) Accept() (c net.Conn, err error) {
	err = net.ErrClosed
	o.Do(func() { c, err = o.Conn, nil })
	return c, err
}

func (o *one) Close() error   { return nil } // of the listener: the session goes on
func (o *one) Addr() net.Addr { return o.addr }

// Pause ends accepting until Resume.
func (f *Server) Pause() {
	<-f.serves
	f.sessions.Load().pause()
}

// Resume goes on accepting, and keeps the client sessions here.
func (f *Server) Resume() {
	<-f.serves
	f.sessions.Load().resume()
}

// MoveConns has client sessions between reqs given away, now and as they get there. Give returns
// once the session may be closed here.
func (f *Server) MoveConns(give func(syscall.Conn) error) {
	<-f.serves
	f.sessions.Load().move(give)
}

// SetResourceShare sets which part of the client sessions allowed may be open.
func (f *Server) SetResourceShare(part float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.part = part
	if l := f.sessions.Load(); l != nil {
		l.share(part)
	}
}

// Conns tells how many client sessions are open.
func (f *Server) Conns() int {
	if l := f.sessions.Load(); l != nil {
		return l.count()
	}
	return 0
}

// SetReady sets what GET /ready answers.
func (f *Server) SetReady(is bool) { f.ready.Store(is) }

// DrainConns closes client sessions between reqs: the idle ones now, the others with their
// answers. net/http's server would do so by SetKeepAlivesEnabled, but see session.Read.
func (f *Server) DrainConns() {
	f.ends.Store(true)
	if l := f.sessions.Load(); l != nil {
		l.end()
	}
}

// Close accepts nothing more and waits for the reqs in hand to be answered, and for sessions
// that are given away to be gone. Shortly before the time is up no further req is read.
func (f *Server) Close(within time.Duration) {
	f.closes.Store(true)
	if l := f.sessions.Load(); l != nil {
		over, last := time.After(within), time.After(within-f.lastCall)
		l.Close()
		accepted := f.accepted // one that the system has given out may not be among the sessions before
		look := time.NewTicker(closeEvery)
		defer look.Stop()
		for accepted != nil || l.count() > 0 {
			select {
			case <-accepted:
				accepted = nil
				if !l.moves() {
					l.end()
				}
			case <-look.C:
			case <-last:
				l.shutIn()
			case <-over:
				f.opt.Log.Warn("client sessions left open", zap.Int("sessions", l.count()))
				f.server.Close()
				return
			}
		}
	}
	f.server.Close()
}

// Respond hands a req its answer. It never blocks.
func (f *Server) Respond(a core.Respond) {
	f.mu.Lock()
	answer := f.waiting[a.Request]
	delete(f.waiting, a.Request)
	f.mu.Unlock()
	if answer != nil {
		answer <- a // holds one, and one is all there is
	}
}

// ServeHTTP sees one req of a client session through.
func (f *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.ends.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.RequestURI == "/ready" && r.Method == http.MethodGet {
		if sessionOf(r).serves() {
			f.serveReady(w)
		}
		return
	}
	ev, problem := f.read(r)
	if problem != nil {
		f.turnAway(w, r, problem)
		return
	}
	if !sessionOf(r).serves() {
		panic(http.ErrAbortHandler)
	}
	ev.Disconnected = r.Context().Err() != nil // it came with others, and its client has gone
	answer := make(chan core.Respond, 1)
	f.mu.Lock()
	f.waiting[ev.ID] = answer
	f.mu.Unlock()
	f.opt.Post(ev)
	left := r.Context().Done()
	if ev.Disconnected {
		left = nil
	}
	for {
		select {
		case a := <-answer:
			if f.ends.Load() { // by now
				w.Header().Set("Connection", "close")
			}
			write(w, a)
			return
		case <-left: // or it ended its sending and reads on: nothing tells the two apart, so it is answered
			left = nil
			f.opt.Post(&core.ClientDisconnected{Request: ev.ID})
		}
	}
}

// turnAway answers at once what is no req, before its body has come: half of
// one may be all that ever does.
func (f *Server) turnAway(w http.ResponseWriter, r *http.Request, p *problem) {
	f.opt.Post(core.RequestMalformed{Cause: p.cause})
	s := sessionOf(r)
	if !s.serves() {
		panic(http.ErrAbortHandler)
	}
	// Beyond a body that is left unread the session ends too: in full duplex net/http's
	// server would begin two reads at once there, and panics.
	if p.ends || r.ContentLength != 0 {
		w.Header().Set("Connection", "close")
	}
	if r.ContentLength != 0 {
		s.SetReadDeadline(s.begun.Add(wholeWithin))
		http.NewResponseController(w).EnableFullDuplex() // or net/http reads the body before it answers
	}
	reject(w, p.status, p.text)
	if r.ContentLength != 0 {
		http.NewResponseController(w).Flush()
		s.enter(idle) // it is answered, and what may still come is of no use
	}
}

func (f *Server) serveReady(w http.ResponseWriter) {
	if f.ready.Load() {
		reject(w, http.StatusOK, "ready")
		return
	}
	reject(w, http.StatusServiceUnavailable, "not ready")
}

// A problem is what makes a req none. It never costs a fetch.
type problem struct {
	cause  core.MalformedCause
	status int
	text   string
	ends   bool // where the next req would begin is not known, so the session ends
}

// read checks the form of a req and words it as an event. What a backend or
// the rules cannot use goes no further: on their side it would cost more, and
// there it may pass for something else.
func (f *Server) read(r *http.Request) (*core.RequestReceived, *problem) {
	h, set := r.Header, &f.opt.Settings
	path, _, _ := strings.Cut(r.RequestURI, "?")
	name, customer, ok := splitPath(path)
	class := f.classes[name]
	if class == nil { // a name may have signs that a path has in another form
		name, _ = url.PathUnescape(name)
		class = f.classes[name]
	}
	// net/http takes a chunked body and drops a Content-Length beside it unseen,
	// and under HTTP/1.0 drops Transfer-Encoding: such a body may hide another
	// req. Clients here send a length, so what comes without is not looked into.
	switch {
	case len(r.TransferEncoding) > 0:
		return nil, &problem{core.BadFraming, http.StatusLengthRequired, "Content-Length wanted, and nothing beside it", true}
	case !r.ProtoAtLeast(1, 1):
		return nil, &problem{core.BadFraming, http.StatusHTTPVersionNotSupported, "HTTP/1.1 wanted", true}
	case r.ContentLength > maxBody:
		return nil, &problem{core.BadFraming, http.StatusRequestEntityTooLarge, "body too long", true}
	case !ok || class == nil:
		return nil, &problem{core.BadTarget, http.StatusNotFound, "no such class or customer", false}
	}
	id, idOK := word(h, "X-Call-Id")
	key, keyOK := word(h, "Idempotency-Key")
	plan, planOK := "", len(h["Plan"]) == 1 // any sign may be in a name, and it is known or not
	if planOK {
		plan = h["Plan"][0]
	}
	text, budgetOK := word(h, "X-Budget")
	budget, known := parseBudget(text)
	budgetOK = budgetOK && known && budget <= class.Deadline+budgetSlack
	text, quotaOK := word(h, "Quota-Info")
	quota, known := parseQuota(text)
	gateways := max(set.Limiters, 1)
	quotaOK = quotaOK && known && quota.first < gateways && quota.spread <= gateways &&
		(f.opt.MaxUnits <= 0 || quota.units <= f.opt.MaxUnits)
	method := http.MethodPost
	if class.Idempotency == admission.Idempotent {
		method = http.MethodGet
	}
	switch {
	case r.Method != method || method == http.MethodGet && r.ContentLength != 0:
		return nil, &problem{core.BadMethod, http.StatusMethodNotAllowed, "the class has another method", false}
	case !idOK:
		return nil, &problem{core.BadID, http.StatusBadRequest, "bad X-Call-Id", false}
	case class.Idempotency == admission.IdempotentByKey && !keyOK || len(h["Idempotency-Key"]) > 1:
		return nil, &problem{core.BadID, http.StatusBadRequest, "bad Idempotency-Key", false}
	case !planOK || !f.plans[plan]:
		return nil, &problem{core.BadPlan, http.StatusBadRequest, "unknown plan", false}
	case !budgetOK:
		return nil, &problem{core.BadBudget, http.StatusBadRequest, "bad X-Budget", false}
	case !quotaOK:
		return nil, &problem{core.BadQuota, http.StatusBadRequest, "bad Quota-Info", false}
	}
	body, err := f.readBody(r)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, &problem{core.BadFraming, http.StatusRequestTimeout, "body did not come", true}
	}
	if err != nil {
		return nil, &problem{core.BadFraming, http.StatusBadRequest, "body broken off", true}
	}
	return &core.RequestReceived{
		ReceivedAt: f.opt.Now(), CallID: id,
		Request: admission.Request{
			ID: core.RequestID(f.last.Add(1)), Class: name, Plan: plan, Customer: customer, Units: quota.units,
			Budget: min(budget, class.Deadline), FirstLimiter: quota.first, SetSize: quota.spread, IsRetry: h.Get("X-Again") == "1",
		},
		Content: &upstream.Request{
			Method: r.Method, URI: r.RequestURI, Host: r.Host, CallID: id,
			Key: key, Type: h.Get("Content-Type"), Body: body,
		},
	}, nil
}

// word gives a header that must stand there once, as one word.
func word(h http.Header, name string) (string, bool) {
	values := h[name]
	if len(values) != 1 || len(values[0]) == 0 || len(values[0]) > maxWord {
		return "", false
	}
	for _, c := range []byte(values[0]) {
		if c <= ' ' || c >= 0x7f {
			return "", false
		}
	}
	return values[0], true
}

// readBody reads a body whole. Its length is known, and within the bound; but
// room is made for what has come, not for what is said to come.
func (f *Server) readBody(r *http.Request) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	s := sessionOf(r)
	// By its length: a slow client may take seconds for a long one, and half of a short one is
	// found out at once.
	within := bodySlack + time.Duration(float64(r.ContentLength)/bodyPerSec*float64(time.Second))
	s.SetReadDeadline(f.opt.Wall().Add(within))
	body, err := io.ReadAll(r.Body)
	if err == nil { // else net/http would wait here for the rest before it answers
		s.SetReadDeadline(time.Time{}) // it goes on reading, to see a client leave
	}
	return body, err
}

// splitPath takes the class and the customer from a path: its first and its
// last part. One customer has one name: its digits are small.
func splitPath(path string) (class, customer string, ok bool) {
	path, ok = strings.CutPrefix(path, "/")
	if !ok {
		return "", "", false
	}
	class, _, ok = strings.Cut(path, "/")
	customer = path[strings.LastIndexByte(path, '/')+1:]
	if !ok || len(customer) != customerSize || strings.ContainsAny(customer, "ABCDEF") {
		return "", "", false
	}
	number, err := strconv.ParseUint(customer, 16, 64)
	return class, customer, err == nil && number < customerMost
}

// parseBudget reads a number and its unit, m for milliseconds or u for
// microseconds.
func parseBudget(text string) (time.Duration, bool) {
	if text == "" {
		return 0, false
	}
	unit := time.Millisecond
	switch text[len(text)-1] {
	case 'm':
	case 'u':
		unit = time.Microsecond
	default:
		return 0, false
	}
	v, ok := parseNumber(text[:len(text)-1])
	v *= float64(unit)
	if !ok || v < 1 || v > float64(budgetMost) {
		return 0, false
	}
	return time.Duration(v), true
}

// parseNumber reads a plain decimal number: no sign, exponent, infinity or
// hex digits, all of which strconv would take.
func parseNumber(text string) (float64, bool) {
	if len(text) > maxNumber || strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	v, err := strconv.ParseFloat(text, 64)
	return v, err == nil
}

type quota struct {
	units         float64
	spread, first int
}

// parseQuota reads "units=2,spread=3,first=1", each once. Other names are for
// others.
func parseQuota(text string) (q quota, ok bool) {
	seen := map[string]bool{}
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if name != "units" && name != "spread" && name != "first" {
			continue
		}
		v, number := parseNumber(value)
		if !number || seen[name] || name != "units" && v != math.Trunc(v) || v > quotaMost {
			return q, false
		}
		seen[name] = true
		switch name {
		case "units":
			q.units = v
		case "spread":
			q.spread = int(v)
		case "first":
			q.first = int(v)
		}
	}
	return q, len(seen) == 3 && q.units > 0 && q.spread > 0
}

// write puts an answer on the wire. It is whole before the first byte goes out.
func write(w http.ResponseWriter, a core.Respond) {
	h := w.Header()
	switch a.Kind {
	case core.Served:
		reply := a.Response.(*upstream.Response)
		if h["Content-Type"] = []string{reply.Type}; reply.Type == "" {
			h["Content-Type"] = nil // not guessed from the body
		}
		h["Content-Length"] = []string{strconv.Itoa(len(reply.Body))}
		w.WriteHeader(http.StatusOK)
		w.Write(reply.Body)
	case core.Rejected:
		if a.RetryAfter > 0 {
			h["Retry-After"] = []string{strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64)}
		}
		reject(w, http.StatusTooManyRequests, "refused, try again later")
	case core.DuplicateID:
		reject(w, http.StatusConflict, "a req with this X-Call-Id is open")
	case core.Failed:
		reject(w, http.StatusBadGateway, "failed, it may have run")
	}
}

// reject writes a short answer of the program's own.
func reject(w http.ResponseWriter, status int, text string) {
	h := w.Header()
	h["Content-Type"] = []string{"text/plain; charset=utf-8"}
	h["Content-Length"] = []string{strconv.Itoa(len(text) + 1)}
	w.WriteHeader(status)
	io.WriteString(w, text+"\n")
}
