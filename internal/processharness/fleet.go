// Package processharness plays limiters as processes of their own, with stand-ins for all that they meet:
// discovery, backends, clients and the network between limiters. The stand-ins judge: what they
// saw, by one clock, counts, and never a limiter's own word.
package processharness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"

	"time"
)

// A Host is what a tier runs in: a test, or a command.
type Host interface {
	Helper()
	Fatal(args ...any) // does not return
	Errorf(format string, args ...any)
	Logf(format string, args ...any)
	Failed() bool
	Cleanup(func()) // the last one first
	TempDir() string
}

// A Plan is one of the settings.
type Plan struct {
	Name           string
	Rate, Burst    float64
	CeilRate, Ceil float64
	Open           int
}

// A Tier is some limiters with all that they meet.
type Tier struct {
	T        Host
	Limiters []*Limiter
	Net      *Net
	Backends []*Backend
	Program  []string // how to start a limiter
	Env      []string
	Plans    []Plan
	Sockets  int // each limiter's limit
	MemoryMB int
	Util     bool // backends tell how busy they are

	discovery *httptest.Server
	mu        sync.Mutex
	watches   []chan struct{}
	gone      map[*Backend]bool // as discovery tells
	changed   int               // times that the list changed
	keys      map[string]time.Time
	doubled   int
}

// A Limiter is one of the tier, whatever processes it has.
type Limiter struct {
	Number int
	Addr   string // where clients connect
	Dir    string // its TMPDIR
	Env    []string
	tier   *Tier
}

// A Process is one process of a limiter.
type Process struct {
	Cmd     *exec.Cmd
	Console string
	Ended   chan error // its end, once
	log     *lines
}

// New makes a tier that is not started. Everything ends with the test.
func New(t Host, limiters, backends int, program ...string) *Tier {
	x := &Tier{T: t, Program: program, Sockets: 1024, MemoryMB: 192, Plans: []Plan{{Name: "free"}}, keys: map[string]time.Time{}}
	x.Net = newNet(t, limiters)
	for i := range backends {
		x.Backends = append(x.Backends, newBackend(x, i))
	}
	x.discovery = httptest.NewServer(http.HandlerFunc(x.discover))
	t.Cleanup(func() {
		x.mu.Lock()
		for _, w := range x.watches {
			close(w)
		}
		x.watches = nil
		x.mu.Unlock()
		x.discovery.Close()
	})
	for i := range limiters {
		x.Limiters = append(x.Limiters, &Limiter{Number: i, Addr: freeAddr(t, "tcp"), Dir: t.TempDir(), tier: x})
	}
	return x
}

// given counts the ports that freeAddr gave.
var given atomic.Uint32

// freeAddr is an address on loopback that nobody listens on, nor will: on an IP of this process's
// own, so that no socket with a port of the kernel's choice takes it before a limiter does.
func freeAddr(t Host, network string) string {
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.1", 64+pid>>8&63, pid&255)
	for range 1000 {
		addr := fmt.Sprintf("%s:%d", ip, 10000+given.Add(1)%20000)
		if network == "udp" {
			if c, err := net.ListenPacket("udp4", addr); err == nil {
				c.Close()
				return addr
			}
			continue
		}
		if l, err := net.Listen("tcp4", addr); err == nil {
			l.Close()
			return addr
		}
	}
	t.Fatal("no free address")
	return ""
}

func (x *Tier) instances() []map[string]any {
	var list []map[string]any
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, b := range x.Backends {
		if !x.gone[b] {
			list = append(list, map[string]any{
				"instanceId": b.ID, "hostPort": b.addr, "zone": "a", "cell": 1, "lifecycle": "up", "weight": 1.0, "startedAtMs": 0,
			})
		}
	}
	return list
}

// List has discovery tell of a backend, or no longer.
func (x *Tier) List(b *Backend, is bool) {
	x.mu.Lock()
	if x.gone == nil {
		x.gone = map[*Backend]bool{}
	}
	x.gone[b] = !is
	x.changed++
	x.mu.Unlock()
}

// discover answers watches: the list, then an empty line now and then.
func (x *Tier) discover(w http.ResponseWriter, r *http.Request) {
	x.mu.Lock()
	told := x.changed
	x.mu.Unlock()
	json.NewEncoder(w).Encode(map[string]any{"generation": told + 1, "reset": r.URL.Query().Get("index") != fmt.Sprint(told+1), "instances": x.instances()})
	w.(http.Flusher).Flush()
	end := make(chan struct{})
	x.mu.Lock()
	x.watches = append(x.watches, end)
	x.mu.Unlock()
	for {
		select {
		case <-end:
			return
		case <-r.Context().Done():
			return
		case <-time.After(500 * time.Millisecond):
			x.mu.Lock()
			now := x.changed
			x.mu.Unlock()
			if now != told {
				told = now
				json.NewEncoder(w).Encode(map[string]any{"generation": told + 1, "reset": true, "instances": x.instances()})
			} else {
				io.WriteString(w, "\n")
			}
			w.(http.Flusher).Flush()
		}
	}
}

// Config is a limiter's configuration, as the platform tells it.
func (l *Limiter) Config() map[string]any {
	x := l.tier
	var plans []map[string]any
	for _, p := range x.Plans {
		plans = append(plans, map[string]any{
			"name": p.Name, "refill": p.Rate, "depth": p.Burst, "concurrency": p.Open, "pays": 1,
			"never_over_rate": p.CeilRate, "never_over_depth": p.Ceil,
		})
	}
	settings := map[string]any{
		"siblings": len(x.Limiters), "me": l.Number, "zone": "a", "granularity_s": 0.002,
		"classes": []map[string]any{
			{"name": "read", "effect": "idempotent", "group": "all", "on_time_s": 0.7, "deadline_s": 2, "importance": 2},
			{"name": "post", "effect": "deduplicated", "group": "all", "window_s": 3, "on_time_s": 1, "deadline_s": 3, "importance": 3},
		},
		"tiers_of_service": plans,
		"family_info":      map[string]any{"most_units": 4, "peer_in_per_s": 60},
		"allowed": map[string]any{
			"peers": len(x.Limiters) > 1, "connect_timeout_s": 0.25, "idle_close_s": 15, "max_attempts": 3, "may_cancel": true,
			"retry_after": true, "max_retry_after_s": 1,
		},
	}
	if x.Util {
		settings["feedback"] = map[string]any{"fields": []string{"util"}}
	}
	return map[string]any{
		"name": fmt.Sprintf("n%d", l.Number), "listen": l.Addr, "discovery": strings.TrimPrefix(x.discovery.URL, "http://"),
		"seed": "8c1f30d27a5be964", "limits": map[string]any{"cores": 1, "memory_mb": x.MemoryMB, "sockets": x.Sockets},
		"peer_listen": x.Net.Real(l.Number), "peers": x.Net.Seen(l.Number),
		"known":    map[string]any{"generation": 1, "reset": true, "instances": x.instances()},
		"settings": settings,
	}
}

// Start starts a process of the limiter. Change may alter its configuration.
func (l *Limiter) Start(change ...func(map[string]any)) *Process {
	x := l.tier
	x.T.Helper()
	c := l.Config()
	p := &Process{Console: freeAddr(x.T, "tcp"), Ended: make(chan error, 1), log: &lines{}}
	c["console"] = p.Console
	for _, f := range change {
		f(c)
	}
	data, err := json.Marshal(c)
	if err != nil {
		x.T.Fatal(err)
	}
	path := filepath.Join(x.T.TempDir(), "config.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		x.T.Fatal(err)
	}
	p.Cmd = exec.Command(x.Program[0], x.Program[1:]...)
	p.Cmd.Env = append(slices.Concat(os.Environ(), x.Env, l.Env), "ROUTER_CONFIG="+path, "TMPDIR="+l.Dir)
	p.Cmd.Stderr, p.Cmd.Stdout = p.log, p.log
	if err := p.Cmd.Start(); err != nil {
		x.T.Fatal(err)
	}
	go func() { p.Ended <- p.Cmd.Wait() }()
	x.T.Cleanup(func() {
		p.Cmd.Process.Kill()
		if x.T.Failed() {
			x.T.Logf("n%d, process %d:\n%s", l.Number, p.Cmd.Process.Pid, p.log)
		}
	})
	return p
}

// Signal sends a signal.
func (p *Process) Signal(s syscall.Signal) { p.Cmd.Process.Signal(s) }

// Log tells whether a line with a text was logged. The log comes through a pipe: it may be behind what its process is
// known to have done, so a line that is due is waited for.
func (p *Process) Log(text string) bool { return strings.Contains(p.log.String(), text) }

// Last gives the last line with a text that was logged.
func (p *Process) Last(text string) string {
	list := strings.Split(p.log.String(), "\n")
	for i := len(list) - 1; i >= 0; i-- {
		if strings.Contains(list[i], text) {
			return list[i]
		}
	}
	return ""
}

// Healthy asks the console whether the process takes clients.
func (p *Process) Healthy() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + p.Console + "/healthcheck")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Await waits until the process takes clients, or ends the test.
func (p *Process) Await(t Host) {
	t.Helper()
	Until(t, "a process that takes clients", p.Healthy)
}

// Until waits for something that comes soon, and ends the test if it does not.
func Until(t Host, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("did not come: ", what)
		}
	}
}

// Wait waits for the process's end.
func (p *Process) Wait(t Host) error {
	t.Helper()
	select {
	case err := <-p.Ended:
		p.Ended <- err
		return err
	case <-time.After(20 * time.Second):
		t.Fatal("did not end")
		return nil
	}
}

// lines keeps what a process logs.
type lines struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// A Backend answers reqs and remembers them.
type Backend struct {
	ID   string
	addr string
	tier *Tier

	server *httptest.Server

	mu     sync.Mutex
	delay  time.Duration
	seen   map[string]int // attempts by X-Call-Id
	broken bool
	first  []Seen
	acts   []Act
}

// An Act is an attempt that came under a lease.
type Act struct {
	At, End time.Time // it came, and its answer was begun
	Token   uint64
}

// window is how long all backends drop the repeats of a key.
const window = 3 * time.Second

// Seen is an attempt that came to a backend.
type Seen struct {
	At       time.Time
	CallID   string
	Customer string
}

func newBackend(x *Tier, i int) *Backend {
	b := &Backend{ID: fmt.Sprintf("b%d", i), tier: x, seen: map[string]int{}}
	var l net.Listener
	for tries := 0; l == nil; tries++ { // a process that is just being started may still hold what was closed here
		var err error
		b.addr = freeAddr(x.T, "tcp")
		if l, err = net.Listen("tcp4", b.addr); err != nil && tries > 20 {
			x.T.Fatal(err)
		}
	}
	server := &httptest.Server{Listener: l, Config: &http.Server{Handler: b}}
	server.Start()
	b.server = server
	x.T.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return b
}

// Delay sets what an answer takes.
func (b *Backend) Delay(d time.Duration) {
	b.mu.Lock()
	b.delay = d
	b.mu.Unlock()
}

// ServeHTTP answers a req with its id.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	id, key := r.Header.Get("X-Call-Id"), r.Header.Get("Idempotency-Key")
	b.mu.Lock()
	b.seen[id]++
	if token, err := strconv.ParseUint(r.Header.Get("X-Lease-Token"), 10, 64); err == nil {
		act := Act{At: time.Now(), Token: token}
		defer func() {
			b.mu.Lock()
			act.End = time.Now()
			b.acts = append(b.acts, act)
			b.mu.Unlock()
		}()
	}
	customer := r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
	b.first = append(b.first, Seen{time.Now(), id, customer})
	delay := b.delay
	b.mu.Unlock()
	if key != "" {
		b.tier.ran(key)
	}
	time.Sleep(delay)
	b.mu.Lock()
	broken := b.broken
	b.mu.Unlock()
	if broken { // with no answer
		panic(http.ErrAbortHandler)
	}
	if b.tier.Util {
		w.Header().Set("X-Load-Report", "TEXT util=0.3")
	}
	fmt.Fprintf(w, "%s %d", id, len(body))
}

// Down has nobody listen at the backend's address, or the backend again.
func (b *Backend) Down(is bool) {
	if is {
		b.server.Listener.Close()
		b.server.CloseClientConnections()
		return
	}
	l, err := net.Listen("tcp", b.addr)
	if err != nil {
		b.tier.T.Errorf("backend: %v", err)
		return
	}
	again := &httptest.Server{Listener: l, Config: &http.Server{Handler: b}}
	again.Start()
	b.tier.T.Cleanup(func() {
		again.CloseClientConnections()
		again.Close()
	})
	b.server = again
}

// Acts are all attempts that came to backends under a lease, in the order they came.
func (x *Tier) Acts() (list []Act) {
	for _, b := range x.Backends {
		b.mu.Lock()
		list = append(list, b.acts...)
		b.mu.Unlock()
	}
	slices.SortStableFunc(list, func(a, b Act) int { return a.At.Compare(b.At) })
	return list
}

// Break has the backend end all its connections with no answer, those that are open too.
func (b *Backend) Break() {
	b.mu.Lock()
	b.broken = true
	b.mu.Unlock()
	b.server.CloseClientConnections()
}

// ran books an attempt under a key: within its window a repeat has no effect.
func (x *Tier) ran(key string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	at, has := x.keys[key]
	if has && time.Since(at) < window {
		return
	}
	if x.keys[key] = time.Now(); has {
		x.doubled++
	}
}

// Doubled tells how many times a key had an effect more than once.
func (x *Tier) Doubled() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.doubled
}

// Attempts tells how often each req came to the backends, and all of them in the order they came.
func (x *Tier) Attempts() (byID map[string]int, first []Seen) {
	byID = map[string]int{}
	for _, b := range x.Backends {
		b.mu.Lock()
		for id, n := range b.seen {
			byID[id] += n
		}
		first = append(first, b.first...)
		b.mu.Unlock()
	}
	slices.SortFunc(first, func(a, b Seen) int { return a.At.Compare(b.At) })
	return byID, first
}
