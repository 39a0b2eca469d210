// Package admin answers the operators' calls: whether this process takes clients,
// and its figures. It decides nothing and asks the rest of the program nothing: it
// shows what it was handed last, so no caller can slow a req or wait for one.
package admin

import (
	"container/list"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	jsoniter "github.com/json-iterator/go"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"lemongate/internal/core"
	"lemongate/internal/lease"
)

const (
	// Callers wait a second, and some connect and say nothing for long. Nobody may
	// hold a place for longer than the others wait, and one who comes to a full
	// console takes the place of who has held one longest.
	callWithin = time.Second
	callers    = 32
	maxHead    = 4 << 10
	againAfter = time.Second // the address could not be listened on
)

// A Server serves one address. Its methods may be called from any goroutine.
type Server struct {
	log    *zap.Logger
	server *http.Server
	ready  atomic.Bool
	now    atomic.Pointer[core.Metrics]
	post   func(core.Event)
	done   context.Context
	end    context.CancelFunc
}

// New returns a Console that does not listen yet. Wrote tells how many attempts were
// written to backends whole; it is asked at each call and must not wait. Post takes what
// operators want; it may wait for the loop, but holds up nobody else.
func New(wrote func() uint64, post func(core.Event), log *zap.Logger) *Server {
	c := &Server{log: log, post: post}
	c.done, c.end = context.WithCancel(context.Background())
	c.now.Store(&core.Metrics{})
	registry := prometheus.NewRegistry()
	registry.MustRegister(&collector{now: &c.now, wrote: wrote})
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthcheck", c.health)
	mux.Handle("GET /stats", promhttp.HandlerFor(registry, promhttp.HandlerOpts{DisableCompression: true}))
	mux.HandleFunc("GET /leases", c.leases)
	mux.HandleFunc("GET /turn", c.turn)
	mux.HandleFunc("POST /turn", c.turn)
	mux.HandleFunc("DELETE /turn", c.turn)
	c.server = &http.Server{
		Handler: mux, ReadTimeout: callWithin, WriteTimeout: callWithin, MaxHeaderBytes: maxHead,
		ErrorLog: zap.NewStdLog(log.Named("console")),
	}
	c.server.SetKeepAlivesEnabled(false) // one call per connection
	return c
}

// Serve answers calls at an address until Close. An address that cannot be listened on
// is tried again: a limiter that serves its clients does not end for its console.
func (c *Server) Serve(addr string) {
	for c.done.Err() == nil {
		l, err := (&net.ListenConfig{}).Listen(c.done, "tcp", addr)
		if err == nil {
			err = c.ServeOn(l)
		}
		if err != nil && c.done.Err() == nil {
			c.log.Error("console is not reached", zap.String("at", addr), zap.Error(err))
		}
		select {
		case <-c.done.Done():
		case <-time.After(againAfter):
		}
	}
}

// ServeOn answers calls that come to a listener until Close.
func (c *Server) ServeOn(l net.Listener) error {
	if err := c.server.Serve(&places{Listener: l}); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close ends all calls.
func (c *Server) Close() {
	c.end()
	c.server.Close()
}

// SetReady sets whether this process takes clients.
func (c *Server) SetReady(is bool) { c.ready.Store(is) }

// Publish takes the figures that are shown from now on.
func (c *Server) Publish(f core.Metrics) { c.now.Store(&f) }

func (c *Server) health(w http.ResponseWriter, _ *http.Request) {
	if !c.ready.Load() {
		http.Error(w, "takes no clients", http.StatusServiceUnavailable)
		return
	}
	w.Write([]byte("takes clients\n"))
}

// leases shows how the tasks stand that one limiter does at a time.
func (c *Server) leases(w http.ResponseWriter, _ *http.Request) {
	list := c.now.Load().Leases
	if list == nil {
		list = []lease.View{}
	}
	w.Header().Set("Content-Type", "application/json")
	jsoniter.NewEncoder(w).Encode(list)
}

// turn shows how planned restarts stand, and takes an operator's word: POST wants a turn here, or with
// forget=N has the place of a limiter freed that will not come back; DELETE wants none.
func (c *Server) turn(w http.ResponseWriter, r *http.Request) {
	now := c.now.Load().RestartSlots
	if !now.Enabled {
		http.Error(w, "no turns at restarts are set", http.StatusNotFound)
		return
	}
	code := http.StatusOK
	if r.Method != http.MethodGet {
		var ev core.Event = core.RestartSlotRequested{Wanted: r.Method == http.MethodPost}
		if text := r.URL.Query().Get("forget"); text != "" {
			n, err := strconv.ParseUint(text, 10, 16)
			if err != nil || r.Method != http.MethodPost {
				http.Error(w, "forget: want the number of a limiter, by POST", http.StatusBadRequest)
				return
			}
			ev = core.RestartSlotReleased{Limiter: int(n)}
		}
		c.post(ev)
		code = http.StatusAccepted
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	jsoniter.NewEncoder(w).Encode(now)
}

var (
	completed = prometheus.NewDesc("router_completed_total", "reqs served", []string{"lane"}, nil)
	rejected  = prometheus.NewDesc("router_rejected_total", "reqs refused", []string{"lane"}, nil)
	failed    = prometheus.NewDesc("router_failed_total", "reqs failed", []string{"lane"}, nil)
	upstream  = prometheus.NewDesc("router_upstream_requests_total", "attempts written to backends whole", nil, nil)
	pending   = prometheus.NewDesc("router_pending", "reqs taken and not yet ended", nil, nil)
	members   = prometheus.NewDesc("router_members", "backends in the list", nil, nil)
	avoided   = prometheus.NewDesc("router_members_unavailable", "listed backends that are avoided now", nil, nil)
)

// A collector turns the figures into Prometheus's form.
type collector struct {
	now   *atomic.Pointer[core.Metrics]
	wrote func() uint64
}

func (c *collector) Describe(to chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{completed, rejected, failed, upstream, pending, members, avoided} {
		to <- d
	}
}

func (c *collector) Collect(to chan<- prometheus.Metric) {
	f := c.now.Load()
	counter := func(d *prometheus.Desc, v uint64, labels ...string) {
		to <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v), labels...)
	}
	gauge := func(d *prometheus.Desc, v int) {
		to <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, float64(v))
	}
	for _, l := range f.Classes {
		counter(completed, l.Completed, l.Class)
		counter(rejected, l.Rejected, l.Class)
		counter(failed, l.Failed, l.Class)
	}
	counter(upstream, c.wrote())
	gauge(pending, f.Pending)
	gauge(members, f.Members)
	gauge(avoided, f.Unavailable)
}

// places is a listener with room for some callers. At the bound the one who has held a
// place longest loses it.
type places struct {
	net.Listener
	mu   sync.Mutex
	held list.List // of *place, the longest held first
}

// A place is a caller's connection.
type place struct {
	net.Conn
	in *places
	at *list.Element // nil once it is given up
}

// Accept takes the next caller in.
func (p *places) Accept() (net.Conn, error) {
	c, err := p.Listener.Accept()
	if err != nil {
		return nil, err
	}
	x := &place{Conn: c, in: p}
	p.mu.Lock()
	var out *place
	if p.held.Len() >= callers {
		out = p.held.Front().Value.(*place)
		out.leave()
	}
	x.at = p.held.PushBack(x)
	p.mu.Unlock()
	if out != nil {
		out.Conn.Close()
	}
	return x, nil
}

// leave gives the place up; in.mu is held.
func (x *place) leave() {
	if x.at != nil {
		x.in.held.Remove(x.at)
		x.at = nil
	}
}

// Close ends the call.
func (x *place) Close() error {
	x.in.mu.Lock()
	x.leave()
	x.in.mu.Unlock()
	return x.Conn.Close()
}
