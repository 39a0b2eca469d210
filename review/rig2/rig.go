// Command review2 plays the cases of the second review: it starts limiters as separate processes with the command of
// the deploy file, with stand-ins of clients, servers and discovery on loopback, and checks what these observe.
package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// A rig is one play of a case.
type rig struct {
	root, temp string
	run        string // the command of the deploy file
	trouble    bool
	began      time.Time

	mu     sync.Mutex
	record *os.File
	procs  []*proc
}

// check ends the play with exit code 2 if the case cannot run.
func (r *rig) check(err error, what string) {
	if err != nil {
		r.note("cannot run: %s: %v", what, err)
		r.end(2)
	}
}

// note writes a line to record.txt, with the time since the start.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.4f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// end ends all processes and the play.
func (r *rig) end(code int) {
	r.note("exit code %d", code)
	r.mu.Lock()
	for _, p := range r.procs {
		_ = p.cmd.Process.Kill()
	}
	for _, p := range r.procs {
		<-p.ended
	}
	_ = os.RemoveAll(r.temp)
	os.Exit(code)
}

// verdict ends the play with 1 if the rule was broken, and 0 if it held.
func (r *rig) verdict(broken bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.note("%s", text)
	fmt.Println(text)
	if broken {
		r.end(1)
	}
	r.end(0)
}

// settle waits for d.
func settle(d time.Duration) { time.Sleep(d) }

func newRig() *rig {
	r := &rig{trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	var err error
	if r.root, err = os.Getwd(); err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	if r.record, err = os.Create(filepath.Join(os.Args[2], "record.txt")); err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	r.temp, err = os.MkdirTemp("", "review2-")
	r.check(err, "temporary folder")
	deploy, err := os.ReadFile("deploy/balancer.toml")
	r.check(err, "deploy file")
	for line := range strings.Lines(string(deploy)) {
		if text, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			r.run = strings.Trim(text, `"`)
		}
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() { <-signals; r.end(2) }()
	time.AfterFunc(115*time.Second, func() { r.note("too slow"); r.end(2) })
	r.note("disruption: %v", r.trouble)
	return r
}

// freeAddr returns a loopback address that was free just now.
func (r *rig) freeAddr(network string) string {
	if network == "udp" {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		r.check(err, "free port")
		defer c.Close()
		return c.LocalAddr().String()
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.check(err, "free port")
	defer l.Close()
	return l.Addr().String()
}

// A proc is a process of a limiter.
type proc struct {
	name, console string
	cmd           *exec.Cmd
	log           string
	ended         chan struct{}
	state         *os.ProcessState
}

// start starts a process of a limiter by the command of the deploy file.
func (r *rig) start(name, tmpdir string, config map[string]any) *proc {
	p := &proc{name: name, console: r.freeAddr("tcp"), ended: make(chan struct{})}
	config["console"] = p.console
	data, err := json.Marshal(config)
	r.check(err, "configuration")
	path := filepath.Join(r.temp, name+".json")
	r.check(os.WriteFile(path, data, 0o600), "configuration")
	r.check(os.MkdirAll(tmpdir, 0o700), "TMPDIR")
	p.log = filepath.Join(r.temp, name+".log")
	log, err := os.Create(p.log)
	r.check(err, "log")
	p.cmd = exec.Command("/bin/sh", "-c", r.run)
	p.cmd.Dir = r.root
	p.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+path, "TMPDIR="+tmpdir)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it ends however this program ends
	r.check(p.cmd.Start(), "start of a limiter")
	_ = log.Close()
	r.mu.Lock()
	r.procs = append(r.procs, p)
	r.mu.Unlock()
	go func() { _ = p.cmd.Wait(); p.state = p.cmd.ProcessState; close(p.ended) }()
	r.note("%s: started, process %d", name, p.cmd.Process.Pid)
	return p
}

func (r *rig) signal(p *proc, s syscall.Signal) {
	r.note("%s: %v", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

func (p *proc) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// noteLog copies the lines of a process's log that contain any of the words to record.txt.
func (r *rig) noteLog(p *proc, words ...string) {
	data, _ := os.ReadFile(p.log)
	for line := range strings.Lines(string(data)) {
		for _, w := range words {
			if strings.Contains(line, w) {
				r.note("log of %s: %s", p.name, strings.TrimSpace(line))
				break
			}
		}
	}
}

// ok reports whether a GET is answered with 200.
func ok(addr, path string) bool {
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := c.Get("http://" + addr + path)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// await waits until a condition holds, for 20 s at most.
func (r *rig) await(what string, condition func() bool) {
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			for _, p := range r.procs {
				r.noteLog(p, "{")
			}
			r.check(os.ErrDeadlineExceeded, what)
		}
	}
	r.note("%s", what)
}

// A server is a stand-in of a server. It reads requests whole and answers them as handle says.
type server struct {
	id, addr  string
	state     string
	startedAt int64
	listener  net.Listener
}

// An arrival is a request that has come whole to a server.
type arrival struct {
	id, path, server string
	at               time.Time
	request          *http.Request
	body             []byte
}

// serve starts a server. handle gets each request once its last byte has come, and answers it on the connection; it
// reports whether the connection stays open.
func (r *rig) serve(id string, handle func(arrival, net.Conn) bool) *server {
	return r.serveGated(id, &sync.Mutex{}, handle)
}

// serveGated is serve for a server that accepts only while gate is not locked.
func (r *rig) serveGated(id string, gate *sync.Mutex, handle func(arrival, net.Conn) bool) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.check(err, "server")
	s := &server{id: id, addr: l.Addr().String(), state: "up", listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			gate.Lock()
			gate.Unlock()
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for {
					request, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					body, err := io.ReadAll(request.Body)
					if err != nil {
						return
					}
					if !handle(arrival{request.Header.Get("X-Call-Id"), request.URL.Path, id, time.Now(), request, body}, c) {
						return
					}
				}
			}()
		}
	}()
	return s
}

// answer writes a 200 answer with a length.
func answer(c net.Conn, body []byte) {
	_, _ = c.Write(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
}

// A discovery is a stand-in of discovery.
type discovery struct {
	addr string

	mu         sync.Mutex
	servers    []*server
	generation int
	changed    chan struct{}                              // closed at a change
	write      func(w http.ResponseWriter, object []byte) // writes an object of a watch
	refuse     func() bool                                // whether a call is turned away
	listener   net.Listener
	gone       chan struct{} // closed once open watches end
}

// move ends a discovery whose address has changed: it takes no new connection, and closes the open ones after 1.5 s.
func (d *discovery) move() {
	_ = d.listener.Close()
	time.AfterFunc(1500*time.Millisecond, func() { close(d.gone) })
}

func entry(s *server) map[string]any {
	return map[string]any{
		"instanceId": s.id, "hostPort": s.addr, "zone": "a", "machineType": "m", "cell": 1,
		"lifecycle": s.state, "weight": 1.0, "startedAtMs": s.startedAt,
	}
}

// list returns the whole list.
func (d *discovery) list() map[string]any {
	instances := []any{}
	for _, s := range d.servers {
		if s.state != "removed" {
			instances = append(instances, entry(s))
		}
	}
	return map[string]any{"generation": d.generation, "reset": true, "instances": instances}
}

// set changes the state of a server.
func (d *discovery) set(s *server, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s.state = state
	d.generation++
	close(d.changed)
	d.changed = make(chan struct{})
}

func (r *rig) discover(servers ...*server) *discovery {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.check(err, "discovery")
	d := &discovery{addr: l.Addr().String(), servers: servers, generation: 1, changed: make(chan struct{}), listener: l, gone: make(chan struct{})}
	d.write = func(w http.ResponseWriter, object []byte) { _, _ = w.Write(append(object, '\n')) }
	d.refuse = func() bool { return false }
	go func() { _ = http.Serve(l, d) }()
	return d
}

// ServeHTTP answers a call for the list, or keeps a watch open. Each object of a watch holds the whole list.
func (d *discovery) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if d.refuse() {
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	for {
		d.mu.Lock()
		object, _ := json.Marshal(d.list())
		changed := d.changed
		d.mu.Unlock()
		d.write(w, object)
		if q.URL.Query().Get("stream") == "" {
			return
		}
		w.(http.Flusher).Flush()
		for waiting := true; waiting; {
			select {
			case <-changed:
				waiting = false
			case <-q.Context().Done():
				return
			case <-d.gone:
				return
			case <-time.After(2 * time.Second):
				_, _ = w.Write([]byte("\n"))
				w.(http.Flusher).Flush()
			}
		}
	}
}

// A plan of the settings.
type plan map[string]any

// config returns the configuration of one limiter of a tier of n, in the form of the platform.
func config(me, limiters int, listen string, d *discovery, plans ...plan) map[string]any {
	class := func(name, effect string, aim, deadline float64) map[string]any {
		return map[string]any{
			"name": name, "effect": effect, "group": "all", "window_s": 3.0, "on_time_s": aim, "deadline_s": deadline,
			"importance": 2.0, "late_worth": 0.0, "stream": false,
		}
	}
	return map[string]any{
		"name": fmt.Sprintf("n%d", me), "listen": listen, "discovery": d.addr, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":  d.list(),
		"settings": map[string]any{
			"siblings": limiters, "me": me, "zone": "a", "zones": []string{"a"}, "granularity_s": 0.002,
			"membership_mode": "push", "weight_source": "none", "family": "gate",
			"classes": []any{
				class("read", "idempotent", 0.75, 2), class("post", "deduplicated", 2.5, 5), class("book", "at_most_once", 1, 4),
			},
			"tiers_of_service": plans,
			"family_info":      map[string]any{"most_units": 4, "peer_in_per_s": 40.0},
			"rules": map[string]any{
				"answer_slack_s": 0.008, "drain_grace_s": 0.25, "cold_from": 0.17, "warm_within_s": 17.0,
				"fall_multiple": 4.0, "fall_s": 1.5,
			},
			"allowed": map[string]any{
				"peers": limiters > 1, "probes": false, "connect_timeout_s": 0.25, "idle_close_s": 15.0, "max_attempts": 5,
				"may_cancel": true, "parallel_tries": true, "retry_after": true, "max_retry_after_s": 1.0,
			},
		},
	}
}

// A client is a client's connection.
type client struct {
	net.Conn
	in *bufio.Reader
}

func dial(addr string) (*client, error) {
	c, err := net.DialTimeout("tcp", addr, 5*time.Second)
	if err != nil {
		return nil, err
	}
	return &client{c, bufio.NewReader(c)}, nil
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// A call is a request of a client.
type call struct {
	id, class, plan string
	customer        uint64
	budget          time.Duration
	info            string // Quota-Info; empty for a set of one
}

// send writes a request whole.
func (c *client) send(q call) error {
	info := q.info
	if info == "" {
		info = "units=1,spread=1,first=0"
	}
	head := fmt.Sprintf("Host: backend.local\r\nX-Call-Id: %s\r\nPlan: %s\r\nX-Budget: %dm\r\nQuota-Info: %s\r\n",
		q.id, q.plan, q.budget.Milliseconds(), info)
	path := fmt.Sprintf("/%s/%016x", q.class, q.customer)
	var text string
	switch q.class {
	case "read":
		text = "GET " + path + " HTTP/1.1\r\n" + head + "\r\n"
	case "post":
		text = "POST " + path + " HTTP/1.1\r\n" + head + "Idempotency-Key: " + q.id + q.id + "\r\nContent-Length: 4\r\n\r\nbody"
	default:
		text = "POST " + path + " HTTP/1.1\r\n" + head + "Content-Length: 4\r\n\r\nbody"
	}
	_, err := c.Write([]byte(text))
	return err
}

// receive reads an answer whole, for wait at most. Status 0 stands for none.
func (c *client) receive(wait time.Duration) (status int, body []byte, err error) {
	_ = c.SetReadDeadline(time.Now().Add(wait))
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, nil, err
	}
	body, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, err
	}
	return response.StatusCode, body, nil
}

// Customers of the cases.
const (
	pressing = 0x1a2b3c4d // asks for more than its ceiling
	ordinary = 0x0badcafe
)

var free = plan{
	"name": "free", "refill": 0.0, "depth": 0.0, "concurrency": 0, "pays": 1.0, "never_over_rate": 0.0,
	"never_over_depth": 0.0, "tolerance": 0.0, "excess_worth": 0.0, "over_cost": 0.0,
}

// cases has the cases by number.
var cases = map[string]func(*rig){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: review2 CASE FOLDER, from the root of the repository")
		os.Exit(2)
	}
	cases[os.Args[1]](newRig())
}

// ordinaryRequests sends 60 requests of a class, ten on each of six connections, and waits for their answers.
func (r *rig) ordinaryRequests(listen, class string) {
	var group sync.WaitGroup
	for range 6 {
		group.Go(func() {
			c, err := dial(listen)
			r.check(err, "client")
			defer c.Close()
			for range 10 {
				id := newID()
				r.check(c.send(call{id, class, "free", ordinary, 2 * time.Second, ""}), "client")
				status, _, err := c.receive(3 * time.Second)
				r.check(err, "client")
				r.note("client: %s, %s: answer %d", id, class, status)
			}
		})
	}
	group.Wait()
}
