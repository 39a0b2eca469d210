package eventloop

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"lemongate/internal/admission"
	"lemongate/internal/config"
	"lemongate/internal/core"
	"lemongate/internal/settings"
	"lemongate/internal/testnet"
)

func testConfig(discovery, backend string) *config.Config {
	return &config.Config{
		Name: "n0", ListenAddr: "127.0.0.1:0", DiscoveryAddr: discovery, Limits: config.Limits{Sockets: 100},
		KnownEndpoints: []core.Endpoint{{Backend: admission.Backend{ID: "b1", Zone: "a"}, Addr: backend}},
		Settings: settings.Settings{
			ConnectTimeout: 5 * time.Second, IdleClose: time.Minute,
			Settings: admission.Settings{
				Limiters: 1, Zone: "a", ClockResolution: time.Millisecond, MaxAttempts: 2, MaxRetryAfter: time.Second,
				Classes: []admission.Class{{
					Name: "read", Idempotency: admission.Idempotent, LatencyObjective: 20 * time.Second, Deadline: 30 * time.Second, Weight: 1,
				}},
				Plans: []admission.Plan{{Name: "small", Rate: 0.001, Burst: 1, WeightFactor: 1}},
			},
		},
	}
}

// The complete program, from its start to its exit: it is ready once discovery has sent a list, forwards a request,
// and rejects a request beyond the quota. It logs its counters at SIGUSR1. At SIGHUP it watches endpoints at the
// new address of discovery, and keeps the old address if the configuration is invalid. After SIGTERM it completes
// the requests that it has and ends.
func TestRun(t *testing.T) {
	received, proceed := make(chan bool, 1), make(chan bool)
	backend := testnet.Serve(t, func(w http.ResponseWriter, r *http.Request) {
		received <- true
		<-proceed
		_, _ = io.WriteString(w, "answer to "+r.Header.Get("X-Call-Id")) // the client checks it
	})
	discovery := testnet.Serve(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, `{"generation":1,"reset":false,"instances":[]}`+"\n") // the limiter does not start without it
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})

	watched, configLoads := make(chan bool, 1), 0
	newDiscovery := testnet.Serve(t, func(w http.ResponseWriter, r *http.Request) {
		watched <- true
		<-r.Context().Done()
	})

	observed, lines := observer.New(zapcore.InfoLevel)
	listenAddr, countersLogged := make(chan string, 1), make(chan bool, 2)
	log := zap.New(observed, zap.Hooks(func(e zapcore.Entry) error {
		if strings.HasPrefix(e.Message, "phase serving") {
			listenAddr <- lines.FilterMessage("listening").All()[0].ContextMap()["at"].(string)
		}
		if e.Message == "counters" {
			countersLogged <- true
		}
		return nil
	}))
	dump, stop, reload, ended := make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan error)
	address := strings.TrimPrefix(backend.URL, "http://")
	go func() {
		ended <- Run(testConfig(strings.TrimPrefix(discovery.URL, "http://"), address), NewClock(1), log, Controls{
			Dump: dump, Stop: stop, Reload: reload,
			LoadConfig: func() (*config.Config, error) {
				if configLoads++; configLoads == 1 {
					return nil, errors.New("bad JSON")
				}
				return testConfig(strings.TrimPrefix(newDiscovery.URL, "http://"), address), nil
			},
		})
	}()

	base := "http://" + <-listenAddr
	get := func(id string) (int, string) {
		request, err := http.NewRequest("GET", base+"/read/00000000b4d65521", nil)
		if err != nil {
			t.Error(err)
			return 0, ""
		}
		for name, v := range map[string]string{
			"X-Call-Id": id, "Plan": "small", "X-Budget": "29000m", "Quota-Info": "units=1,spread=1,first=0",
		} {
			request.Header.Set(name, v)
		}
		resp, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Error(err)
			return 0, ""
		}
		defer func() { _ = resp.Body.Close() }() // the caller checks the body
		body, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(body)
	}
	answered := make(chan bool)
	go func() {
		if status, body := get("id7"); status != 200 || body != "answer to id7" {
			t.Errorf("got status %d and body %q, want 200 and the backend's response", status, body)
		}
		answered <- true
	}()
	<-received
	if status, _ := get("id8"); status != 429 {
		t.Errorf("request beyond the quota: got status %d, want 429", status)
	}
	dump <- syscall.SIGUSR1
	<-countersLogged
	reload <- syscall.SIGHUP // the configuration is invalid
	reload <- syscall.SIGHUP
	<-watched
	stop <- syscall.SIGTERM
	reload <- syscall.SIGHUP
	proceed <- true
	<-answered
	if err := <-ended; err != nil {
		t.Error(err)
	}
	all := lines.FilterMessage("counters").All()
	c := all[len(all)-1].ContextMap()["counts"].(core.Counters)
	if c.Received != 2 || c.Served != 1 || c.Rejected != 1 || c.AttemptsStarted != 1 || len(all) != 2 ||
		c.Reloads == 0 || c.ReloadsFailed != 1 || len(lines.FilterMessage("failed to reload the configuration, keeping the current one: bad JSON").All()) != 1 {
		t.Errorf("%d log lines of counters, want 2; the last has %+v, want 2 requests received, 1 served, 1 rejected, 1 attempt started, 1 or more reloads, 1 failed one that is logged once", len(all), c)
	}
}

// Run returns an error if it cannot listen on an address.
func TestRunFails(t *testing.T) {
	inUse := httptest.NewServer(nil)
	defer inUse.Close()
	c := testConfig("127.0.0.1:1", "127.0.0.1:1")
	c.ListenAddr = strings.TrimPrefix(inUse.URL, "http://")
	if err := Run(c, NewClock(1), zap.NewNop(), Controls{}); err == nil || !strings.Contains(err.Error(), "listen") {
		t.Errorf("Run with a listening address in use: got error %v, want one of listen", err)
	}
}

// All limiters together keep at most maxIdleConnsPerBackendOfTier idle connections at a backend, except that each
// limiter may keep one. A limiter of a small tier keeps idleConnFraction of its socket limit, and at least minIdleConns.
func TestMaxIdleConns(t *testing.T) {
	for _, c := range []struct{ sockets, limiters, want int }{
		{256, 0, 4}, {256, 3, 4}, {1024, 3, 16}, {1024, 20, 6}, {384, 80, 1}, {1024, 1000, 1},
	} {
		if got := maxIdleConns(float64(c.sockets), c.limiters); got != c.want {
			t.Errorf("%d limiters with %d sockets each: got %d idle connections per backend, want %d", c.limiters, c.sockets, got, c.want)
		}
	}
}

// The number of connections follows from the socket limit, or from the memory limit if that is low.
func TestMaxConns(t *testing.T) {
	for _, c := range []struct {
		limits config.Limits
		want   int
	}{
		{config.Limits{Sockets: 1024, MemoryMB: 192}, 512},
		{config.Limits{Sockets: 1024}, 512},
		{config.Limits{Sockets: 1024, MemoryMB: 32}, 208},
		{config.Limits{MemoryMB: 32}, 208},
		{config.Limits{Sockets: 64, MemoryMB: 32}, 32},
		{config.Limits{Sockets: 1024, MemoryMB: 1}, 1},
		{config.Limits{}, 0},
	} {
		if got := maxConns(c.limits, clientConnFraction, clientConnMemory); got != c.want {
			t.Errorf("%+v: got %d client connections, want %d", c.limits, got, c.want)
		}
	}
	for limits, want := range map[config.Limits]int{{Sockets: 1024, MemoryMB: 192}: 256, {Sockets: 1024, MemoryMB: 32}: 104} {
		if got := maxConns(limits, backendConnFraction, backendConnMemory); got != want {
			t.Errorf("%+v: got %d connections to backends, want %d", limits, got, want)
		}
	}
}
