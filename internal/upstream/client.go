// Package upstream carries reqs to backends over http.Transport and tells what
// came back. It makes exactly the attempts it is asked for: nothing is sent
// again by itself, compressed, redirected or taken through a proxy.
package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lemongate/internal/admission"
	"lemongate/internal/core"
)

const (
	maxBody        = 64 << 10               // the most that a body holds, either way
	connectDefault = time.Second            // for a connection, where the settings tell no bound
	answerWithin   = 300 * time.Millisecond // for an answer to come whole, from its first byte
	freshTries     = 8                      // connections that may turn out unfit before a fetch is not sent
	reportMost     = 1e6                    // of a figure in a load report; no backend is that slow or full
	utilMost       = 2                      // of the share of a backend's cores in use, noise included
	idlePart       = 2.0 / 3                // of the time after which a backend's machine closes it, a connection may idle
)

// A Request is what a fetch passes on of a client's req.
type Request struct {
	Method string
	URI    string // path and query as they came
	Host   string
	CallID string
	Key    string // Idempotency-Key, if any
	Type   string // of the body
	Body   []byte
}

// A Response is a backend's answer.
type Response struct {
	Type string
	Body []byte
}

// Options set up a Pool.
type Options struct {
	ConnectTimeout    time.Duration
	IdleClose         time.Duration // the backends' own bound on idle connections
	LoadReportFields  []string      // of a load report, in the order of the settings
	MaxIdlePerBackend int           // spare connections kept
	MaxConns          int           // to all backends together; 0 for no bound
	ResponseTimeout   time.Duration // overrides how long an answer may take from its first byte on
	Post              func(core.Event)
	Now               func() time.Duration // the clock that StartFetch's Before is of
}

// A Client carries out all fetches and probes.
type Client struct {
	opt   Options
	conns atomic.Int64
	wrote atomic.Uint64 // fetches written whole
	most  atomic.Int64  // connections to all backends together; 0 for no bound

	mu       sync.Mutex
	backends map[string]*backend
	fetches  map[core.AttemptID]*fetch

	hooks hooks
}

// hooks let tests hold the edges of a fetch against each other.
type hooks struct {
	got   func(core.AttemptID) // a connection is there, and no byte of the fetch is written
	wrote func(n int)          // so many bytes went to the socket
}

// A backend is one life of a backend at one address, with its connections.
type backend struct {
	transport *http.Transport
	dropped   atomic.Bool
}

type fetch struct {
	backend *backend
	cancel  context.CancelFunc
	now     func() time.Duration
	late    atomic.Bool   // the time for its first byte was over
	unwant  atomic.Bool   // it may not begin any longer
	heard   atomic.Bool   // the first byte of an answer came
	before  time.Duration // no first byte may be written from then on; 0 for no bound
	stale   int           // connections that turned out unfit before a byte was written

	// Which connection carries the fetch and whether it was given up are one decision: http.Transport
	// may hand over a connection, and write to it, after its context has ended.
	mu      sync.Mutex
	conn    *conn // the one that carries it
	givenUp bool  // none may from now on
}

// take has a connection carry the fetch. One that comes after the fetch was given up is closed
// before a byte is written.
func (f *fetch) take(c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.givenUp {
		c.Close()
		return
	}
	c.begin(f)
	f.conn = c
}

// leave lets go of a connection that carried nothing.
func (f *fetch) leave() {
	f.mu.Lock()
	f.conn = nil
	f.mu.Unlock()
}

// on gives the connection that carries the fetch, nil if none does.
func (f *fetch) on() *conn {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.conn
}

// giveUp ends the fetch for good. No byte of it is written once it returns.
func (f *fetch) giveUp() {
	f.mu.Lock()
	f.givenUp = true
	c := f.conn
	f.mu.Unlock()
	f.cancel()
	if c != nil {
		c.giveUp(f)
	}
}

// withdraw ends the fetch unless a byte of it was written.
func (f *fetch) withdraw() {
	f.unwant.Store(true)
	f.endUnbegun()
}

// endUnbegun cancels the fetch if it has not begun, and is not to begin any longer.
func (f *fetch) endUnbegun() {
	if c := f.on(); c != nil {
		if any, _ := c.carried(f); any {
			return
		}
	}
	f.cancel()
}

// A body is a req's in one try, as http.Transport reads it. Once nothing of it is left, the req's last
// byte may be on the socket, unless a write failed. The transport tells so later, when its answer may have
// come; and of a try that is over it may tell during the next.
type body struct {
	bytes.Reader
	spent atomic.Bool
}

func newBody(content []byte) *body {
	b := new(body)
	b.Reset(content)
	b.spent.Store(len(content) == 0) // the head is all there is
	return b
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if b.Len() == 0 {
		b.spent.Store(true)
	}
	return n, err
}

func (b *body) Close() error { return nil }

// New returns a Pool without connections.
func New(opt Options) *Client {
	if opt.ConnectTimeout <= 0 {
		opt.ConnectTimeout = connectDefault
	}
	if opt.ResponseTimeout <= 0 {
		opt.ResponseTimeout = answerWithin
	}
	p := &Client{opt: opt, backends: map[string]*backend{}, fetches: map[core.AttemptID]*fetch{}}
	p.hooks = hooks{got: func(core.AttemptID) {}, wrote: func(int) {}}
	p.SetResourceShare(1)
	return p
}

// SetResourceShare sets which part of the connections allowed may be open, while another process has the
// rest. Those that are open stay.
func (p *Client) SetResourceShare(part float64) {
	p.most.Store(int64(math.Ceil(float64(p.opt.MaxConns) * part)))
}

// Conns tells how many connections to backends are open.
func (p *Client) Conns() int { return int(p.conns.Load()) }

// AttemptsWritten tells how many fetches were written to backends whole.
func (p *Client) AttemptsWritten() uint64 { return p.wrote.Load() }

// StartAttempt begins a fetch. Its outcome is posted, unless Stop comes first.
func (p *Client) StartAttempt(e core.StartAttempt) {
	ctx, cancel := context.WithCancel(context.Background())
	p.mu.Lock()
	f := &fetch{backend: p.backend(e.Backend, e.Addr), cancel: cancel, before: e.StartBefore, now: p.opt.Now}
	p.fetches[e.Attempt] = f
	p.mu.Unlock()
	go p.run(ctx, f, e)
}

// CancelAttempt gives a fetch up: its connection is closed before Stop returns, so that
// no later attempt of the req is a second copy beside it.
func (p *Client) CancelAttempt(id core.AttemptID) {
	p.mu.Lock()
	f := p.fetches[id]
	delete(p.fetches, id)
	p.mu.Unlock()
	if f == nil {
		return
	}
	f.giveUp()
}

// WithdrawAttempt ends a fetch of which no byte was written, and has it told as not sent. One that has
// begun goes on.
func (p *Client) WithdrawAttempt(id core.AttemptID) {
	p.mu.Lock()
	f := p.fetches[id]
	p.mu.Unlock()
	if f != nil {
		f.withdraw()
	}
}

// CloseBackendConns ends new sending to a backend: idle connections are closed, and what
// has no byte written yet is cancelled, to be sent elsewhere. What is being
// answered goes on.
func (p *Client) CloseBackendConns(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.backends[id]
	if b == nil {
		return
	}
	delete(p.backends, id)
	b.dropped.Store(true)
	for _, f := range p.fetches {
		if f.backend == b {
			f.endUnbegun()
		}
	}
	b.transport.CloseIdleConnections()
}

// Close drops all backends.
func (p *Client) Close() {
	p.mu.Lock()
	ids := make([]string, 0, len(p.backends))
	for id := range p.backends {
		ids = append(ids, id)
	}
	p.mu.Unlock()
	for _, id := range ids {
		p.CloseBackendConns(id)
	}
}

// backend finds a backend's present life or starts it. p.mu is held.
func (p *Client) backend(id, addr string) *backend {
	b := p.backends[id]
	if b == nil {
		b = &backend{}
		dialer := &net.Dialer{Timeout: p.opt.ConnectTimeout, KeepAlive: -1}
		b.transport = &http.Transport{
			DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
				return p.dial(ctx, dialer, b, network, addr)
			},
			DisableCompression:  true,
			MaxIdleConnsPerHost: max(p.opt.MaxIdlePerBackend, 1),
			// Before the backend's machine closes it, or a req that crosses
			// the close is lost.
			IdleConnTimeout:        time.Duration(float64(p.opt.IdleClose) * idlePart),
			MaxResponseHeaderBytes: 16 << 10,
		}
		p.backends[id] = b
	}
	return b
}

// done closes what a fetch or probe left idle at a backend that was dropped
// meanwhile: http.Transport keeps connections again once anything asked for one.
func (b *backend) done() {
	if b.dropped.Load() {
		b.transport.CloseIdleConnections()
	}
}

// errTooMany is this program's own bound and says nothing of the backend.
var errTooMany = errors.New("too many connections")

// reserve counts a connection in. At the bound, spare ones make room: they
// were left by other fetches, and this one cannot wait.
func (p *Client) reserve() bool {
	most := p.most.Load()
	if n := p.conns.Add(1); most <= 0 || n <= most {
		return true
	}
	p.mu.Lock()
	var all []*http.Transport
	for _, b := range p.backends {
		all = append(all, b.transport)
	}
	p.mu.Unlock()
	for _, t := range all {
		t.CloseIdleConnections()
	}
	if p.conns.Load() <= most {
		return true
	}
	p.conns.Add(-1)
	return false
}

func (p *Client) dial(ctx context.Context, d *net.Dialer, b *backend, network, addr string) (net.Conn, error) {
	if b.dropped.Load() {
		return nil, errDropped
	}
	if !p.reserve() {
		return nil, errTooMany
	}
	out := func() { p.conns.Add(-1) }
	raw, err := d.DialContext(ctx, network, addr)
	if err != nil {
		out()
		return nil, err
	}
	c, err := newConn(raw.(*net.TCPConn), b, out, p.hooks.wrote)
	if err != nil {
		out()
		raw.Close()
		return nil, err
	}
	return c, nil
}

func (p *Client) run(ctx context.Context, f *fetch, e core.StartAttempt) {
	defer f.backend.done()
	defer f.cancel()
	result, report, reply := p.fetch(ctx, f, e)
	p.mu.Lock()
	wanted := p.fetches[e.Attempt] == f
	delete(p.fetches, e.Attempt)
	p.mu.Unlock()
	if wanted {
		p.opt.Post(&core.AttemptFinished{
			Attempt: e.Attempt, Result: result, Report: report, Response: reply,
			ResponseInvalid: result == admission.ConnectionLost && f.heard.Load(), StaleConns: f.stale, StartExpired: f.late.Load(),
		})
	}
}

// fetch makes one attempt and tells its outcome. A connection that is found
// unfit before a byte of the req was written costs nothing but another one.
func (p *Client) fetch(ctx context.Context, f *fetch, e core.StartAttempt) (admission.Result, []float64, core.Content) {
	for {
		result, report, reply := p.try(ctx, f, e)
		if result != admission.Unreachable && result != admission.ConnectFailed {
			return result, report, reply
		}
		c := f.on()
		if c != nil {
			if any, _ := c.carried(f); any {
				return result, report, reply
			}
		}
		if f.backend.dropped.Load() || f.unwant.Load() { // not a failure of its, least of all of its next life
			return admission.NotSent, nil, nil
		}
		if c == nil || ctx.Err() != nil {
			return result, report, reply
		}
		if f.stale++; f.stale >= freshTries {
			return admission.NotSent, nil, nil
		}
		f.leave()
	}
}

// try does so on the connection that the transport has at hand.
func (p *Client) try(ctx context.Context, f *fetch, e core.StartAttempt) (admission.Result, []float64, core.Content) {
	// An answer that has begun comes whole soon. Where it does not, its head
	// does not end or its length is wrong, and the connection would stay open.
	late := time.AfterFunc(time.Hour, func() {
		if c := f.on(); c != nil {
			c.giveUp(f)
		}
	})
	defer late.Stop()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*conn); ok {
				p.hooks.got(e.Attempt)
				f.take(c)
			}
		},
		GotFirstResponseByte: func() {
			if c := f.on(); c != nil {
				c.answerBegins()
			}
			f.heard.Store(true)
			late.Reset(p.opt.ResponseTimeout)
		},
		// What comes ahead of the answer is skipped, and the answer may be long in coming.
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			late.Stop()
			return nil
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err == nil {
				p.wrote.Add(1)
			}
		},
	})
	in := e.Content.(*Request)
	content := newBody(in.Body)
	resp, err := f.backend.transport.RoundTrip(request(ctx, content, in, e))
	if errors.Is(err, errTooMany) || errors.Is(err, errDropped) || f.late.Load() {
		return admission.NotSent, nil, nil
	}
	if err != nil {
		return broken(f, content, err), nil, nil
	}
	// What came before a byte was written answers another fetch. The connection is closed by then,
	// but the transport may have the answer in its buffer, and hand it on before it sees that.
	if c := f.on(); c != nil {
		if any, _ := c.carried(f); !any {
			c.Close()
			resp.Body.Close()
			return admission.ConnectFailed, nil, nil
		}
	}
	if !ends(resp) { // before its Body is closed, which would read on
		result := broken(f, content, errSpoilt)
		resp.Body.Close()
		return result, nil, nil
	}
	defer resp.Body.Close()
	report := parseReport(resp.Header["X-Load-Report"], p.opt.LoadReportFields)
	body, err := readBody(resp)
	switch {
	case err != nil:
		return broken(f, content, err), report, nil
	case resp.StatusCode == http.StatusOK:
		return admission.Succeeded, report, &Response{Type: resp.Header.Get("Content-Type"), Body: body}
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Rejected") == "1":
		return admission.Rejected, report, nil
	}
	return admission.Errored, report, nil
}

// ends tells whether an answer says where it ends. One that ends with its
// connection cannot be told from one cut off, and 101 is no answer to a req.
func ends(resp *http.Response) bool {
	chunked := len(resp.TransferEncoding) == 1 && resp.TransferEncoding[0] == "chunked"
	return resp.ProtoMajor == 1 && resp.StatusCode >= 200 && (resp.ContentLength >= 0 || chunked)
}

// request words a fetch. Its Body is never nil and has no GetBody: otherwise
// http.Transport would send a GET, or anything with Idempotency-Key, again by
// itself when a kept connection turns out dead.
func request(ctx context.Context, content *body, in *Request, e core.StartAttempt) *http.Request {
	h := http.Header{
		"X-Call-Id":  {in.CallID},
		"X-Budget":   {strconv.FormatInt(max(e.Timeout.Milliseconds(), 1), 10) + "m"},
		"User-Agent": nil, // none, rather than Go's own
	}
	if e.Token > 0 {
		h["X-Lease-Token"] = []string{strconv.FormatUint(e.Token, 10)}
	}
	if in.Key != "" {
		h["Idempotency-Key"] = []string{in.Key}
	}
	if in.Type != "" {
		h["Content-Type"] = []string{in.Type}
	}
	r := &http.Request{
		Method: in.Method, Host: in.Host, Header: h, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL:           &url.URL{Scheme: "http", Host: e.Addr, Opaque: in.URI}, // Opaque goes out as it is
		Body:          content,
		ContentLength: int64(len(in.Body)),
	}
	if len(in.Body) == 0 {
		// No framing: http.Transport takes a Body of length 0 for one of
		// unknown length, and would look into it with a goroutine and a timer
		// or send it chunked.
		r.TransferEncoding = []string{"identity"}
	}
	return r.WithContext(ctx)
}

// broken tells what a fetch without a whole answer proves: it never ran if its
// last byte was not written, and may have run otherwise. A connection that is late or
// breaks says less of a backend than one that is refused.
func broken(f *fetch, content *body, err error) admission.Result {
	c := f.on()
	if c == nil {
		var late net.Error
		if errors.As(err, &late) && late.Timeout() {
			return admission.ConnectFailed
		}
		return admission.Unreachable
	}
	c.giveUp(f) // nothing more of it may go out from here on
	if _, all := c.carried(f); all && content.spent.Load() {
		return admission.ConnectionLost
	}
	return admission.ConnectFailed
}

var (
	errTooLong = errors.New("answer too long")
	errSpoilt  = errors.New("answer spoilt")
)

func readBody(resp *http.Response) ([]byte, error) {
	if resp.ContentLength > maxBody {
		return nil, errTooLong
	}
	if n := resp.ContentLength; n >= 0 {
		body := make([]byte, n)
		if _, err := io.ReadFull(resp.Body, body); err != nil {
			return nil, err
		}
		_, err := io.Copy(io.Discard, resp.Body) // its end frees the connection
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	if err == nil && len(body) > maxBody {
		err = errTooLong
	}
	return body, err
}

// Probe asks a backend for its load and posts what came of it.
func (p *Client) Probe(e core.ProbeBackend) {
	p.mu.Lock()
	b := p.backend(e.Backend, e.Addr)
	p.mu.Unlock()
	go func() {
		defer b.done()
		began := time.Now()
		result, report := p.probe(b, e.Addr)
		p.opt.Post(&core.ProbeFinished{
			Backend: e.Backend, Result: result, Latency: time.Since(began), Report: report,
		})
	}()
}

func (p *Client) probe(b *backend, addr string) (admission.Result, []float64) {
	// A probe that takes longer than a connection may tells nothing of use.
	ctx, cancel := context.WithTimeout(context.Background(), 2*p.opt.ConnectTimeout)
	defer cancel()
	var on *conn
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*conn); ok {
				c.begin(nil)
				on = c
			}
		},
		GotFirstResponseByte: func() { on.answerBegins() },
	})
	req := &http.Request{
		Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: addr, Path: "/status/load"},
		Header: http.Header{"User-Agent": nil}, Body: io.NopCloser(bytes.NewReader(nil)),
	}
	resp, err := b.transport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		if ctx.Err() != nil {
			return admission.TimedOut, nil
		}
		return admission.Unreachable, nil
	}
	defer resp.Body.Close()
	if any, _ := on.carried(nil); !any { // as in try
		on.Close()
		return admission.Unreachable, nil
	}
	var body []byte
	if err = errSpoilt; ends(resp) {
		body, err = readBody(resp)
	}
	if err != nil {
		on.Close() // nothing behind it can be told apart
		return admission.ConnectionLost, nil
	}
	if resp.StatusCode != http.StatusOK {
		return admission.Errored, nil
	}
	texts := resp.Header["X-Load-Report"]
	if len(texts) == 0 {
		texts = []string{string(body)}
	}
	return admission.Succeeded, parseReport(texts, p.opt.LoadReportFields)
}

// parseReport reads "TEXT name=value, ..." into the order of the fields. It
// gives nothing where that cannot be read whole, or a figure is none that a
// backend can have: the answer is good all the same.
func parseReport(texts []string, fields []string) []float64 {
	if len(texts) != 1 || len(fields) == 0 {
		return nil
	}
	text, ok := strings.CutPrefix(strings.TrimSpace(texts[0]), "TEXT ")
	if !ok {
		return nil
	}
	values := make([]float64, len(fields))
	for i := range values {
		values[i] = math.NaN()
	}
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		i := slices.Index(fields, name)
		if i < 0 {
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		most := reportMost
		if name == "util" {
			most = utilMost
		}
		if err != nil || !(v >= 0 && v <= most) || !math.IsNaN(values[i]) { // or told twice
			return nil
		}
		values[i] = v
	}
	if slices.ContainsFunc(values, math.IsNaN) {
		return nil
	}
	return values
}
