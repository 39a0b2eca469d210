package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"lemongate/internal/processharness"
)

const (
	// minMemoryMB and minSockets are the least limits with which the platform starts a limiter.
	minMemoryMB, minSockets = 32, 1024
	// misbehaviorDuration is how long clients misbehave in a test.
	misbehaviorDuration = 6 * time.Second
	// finalAnswerSlack is how long after the end of its budget a request may still get its final answer.
	finalAnswerSlack = 500 * time.Millisecond
	// disconnectSlack is how long after its client has disconnected an attempt of a request may still begin.
	disconnectSlack = 100 * time.Millisecond
)

// programDir has the program that buildProgram built; empty before. TestMain removes it.
var programDir string

// buildProgram builds the program as it is deployed, linked against the C library and without the race detector, which would
// use several times the memory, and returns the path. The program is built once for all tests.
var buildProgram = sync.OnceValues(func() (path string, err error) {
	if programDir, err = os.MkdirTemp("", "lemongate-test-"); err != nil {
		return "", err
	}
	path = filepath.Join(programDir, "lemongate")
	if out, err := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", path, ".").CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
})

// newSmallestLimiter creates a tier of one limiter with the least limits, and three backends.
func newSmallestLimiter(t *testing.T) *processharness.Tier {
	t.Helper()
	program, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	tier := processharness.New(t, 1, 3, program, "serve")
	tier.MemoryMB, tier.Sockets = minMemoryMB, minSockets
	for _, b := range tier.Backends {
		b.SetDelay(30 * time.Millisecond)
	}
	return tier
}

// startRegularLoad starts clients that send requests of all classes, one at a time on a connection.
func startRegularLoad(tier *processharness.Tier) *processharness.Load {
	load := tier.StartLoad(60, func(n int) processharness.Request { return newRequest(n, "free", 1000) })
	load.EnableResend()
	return load
}

// newRequest returns request number n of a load. Every third one has an idempotency key and a body of bodySize bytes.
func newRequest(n int, plan string, bodySize int) processharness.Request {
	request := processharness.Request{Class: processharness.ClassIdempotent, Plan: plan, Customer: uint64(n % 30)}
	if n%3 == 0 {
		request.Class, request.Key, request.Body = processharness.ClassKeyed, fmt.Sprintf("%032x", n), bodySize
	}
	return request
}

// checkAnsweredInTime checks that each request has its final answer in time, and returns how many were served. While a crowd
// fills the descriptors, new connections may be closed unread; unreadAllowed is how many of them may be. Their requests
// reached no backend, and their clients would send them once more.
func checkAnsweredInTime(t *testing.T, tier *processharness.Tier, results []processharness.Result, unreadAllowed int) (served int) {
	t.Helper()
	attempts, _ := tier.Attempts()
	late, unread, missing := 0, 0, map[string]int{}
	for _, r := range results {
		isClosed := strings.HasSuffix(r.ConnError, "EOF") || strings.HasSuffix(r.ConnError, "connection reset by peer")
		switch {
		case r.Status == 0 && isClosed && attempts[r.ID] == 0:
			unread++
		case r.Status == 0:
			missing[r.ConnError]++
		case r.Took > processharness.BudgetOf(r.Request)+finalAnswerSlack:
			late++
		case r.Status == http.StatusOK:
			served++
		}
	}
	if late > 0 || len(missing) > 0 {
		t.Errorf("of %d requests %d were answered too late, without an answer: %v", len(results), late, missing)
	}
	if unread > unreadAllowed {
		t.Errorf("%d of %d requests were on connections that were closed unread, want at most %d", unread, len(results), unreadAllowed)
	}
	return served
}

// While hundreds of clients stop in the middle of requests, write slowly or send heads of very many fields, a process with
// the least limits stays within its memory limit, and regular clients get their answers.
func TestMemoryLimitUnderMisbehavingClients(t *testing.T) {
	for name, kind := range map[string]processharness.Misbehavior{
		"heads half sent":      processharness.StopInHead,
		"bodies half sent":     processharness.StopInBody,
		"bodies sent slowly":   processharness.WriteSlowly,
		"heads of many fields": processharness.StopInFields,
	} {
		t.Run(name, func(t *testing.T) { checkMisbehavior(t, kind, misbehaviorDuration) })
	}
}

// The same holds for clients that stop in the middle of heads for longer than the other tests last.
func TestMemoryLimitUnderHalfHeadsForLong(t *testing.T) {
	checkMisbehavior(t, processharness.StopInHead, 40*time.Second)
}

// checkMisbehavior checks the memory and the service of regular clients while hundreds of clients misbehave for a time.
func checkMisbehavior(t *testing.T, kind processharness.Misbehavior, duration time.Duration) {
	t.Helper()
	const clients = 600 // more than a limiter with the least limits keeps connected
	tier := newSmallestLimiter(t)
	p := startAll(t, tier)[0]
	load := startRegularLoad(tier)
	misbehaving := tier.StartMisbehaving(0, clients, kind)
	time.Sleep(duration)
	misbehaving.End()
	results := load.End()
	served := checkAnsweredInTime(t, tier, results, len(results)/50)
	checkMemory(t, p)
	t.Logf("%d of %d requests served", served, len(results))
	if served < len(results)/2 {
		t.Errorf("%d of %d requests were served, want half", served, len(results))
	}
}

// While hundreds of requests, some of them large, wait for slow backends, or large responses arrive slowly, a process with the
// least limits stays within its memory limit, and all requests are answered in time.
func TestMemoryLimitWithManyOpenRequests(t *testing.T) {
	const longestResponse = 64 << 10
	for name, c := range map[string]struct {
		requestBytes int
		setUp        func(*processharness.Backend)
	}{
		"large requests": {60000, func(b *processharness.Backend) { b.SetDelay(1200 * time.Millisecond) }},
		"large responses": {1000, func(b *processharness.Backend) {
			b.SetDelay(100 * time.Millisecond)
			b.SetPadding(longestResponse-100, 200*time.Millisecond)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			tier := newSmallestLimiter(t)
			for _, b := range tier.Backends {
				c.setUp(b)
			}
			tier.Plans = []processharness.Plan{{Name: "large", Rate: 400, Burst: 800}} // the window follows from the quotas
			p := startAll(t, tier)[0]
			load := tier.StartLoad(250, func(n int) processharness.Request { return newRequest(n, "large", c.requestBytes) })
			load.EnableResend()
			time.Sleep(misbehaviorDuration)
			results := load.End()
			served := checkAnsweredInTime(t, tier, results, len(results)/50)
			checkMemory(t, p)
			t.Logf("%d of %d requests served", served, len(results))
			if served < len(results)/10 {
				t.Errorf("%d of %d requests were served, so the test proves little", served, len(results))
			}
		})
	}
}

// checkMemory checks that the memory of a process has always been within the least limit.
func checkMemory(t *testing.T, p *processharness.Process) {
	t.Helper()
	_, peak := p.MemoryKB()
	if peak > minMemoryMB<<10 || peak == 0 {
		t.Errorf("the process used up to %d KB, want at most %d MB", peak, minMemoryMB)
	}
	t.Logf("peak memory %d KB", peak)
}

// While a few clients pipeline malformed or useless requests as fast as they can, the requests of regular clients are
// served in time, and a process with the least limits stays within its memory limit.
func TestRegularClientsBesideFloods(t *testing.T) {
	for name, flood := range map[string]struct {
		kind    processharness.Misbehavior
		clients int
	}{
		"malformed, one connection":          {processharness.FloodMalformed, 1},
		"malformed, twelve connections":      {processharness.FloodMalformed, 12},
		"many fields, twelve connections":    {processharness.FloodFields, 12},
		"ever new customers, one connection": {processharness.FloodCustomers, 1},
	} {
		t.Run(name, func(t *testing.T) { checkServedBesideFlood(t, flood.kind, flood.clients) })
	}
}

// The same holds where the flooding clients could take all connections.
func TestRegularClientsBesideFloodOnAllConnections(t *testing.T) {
	checkServedBesideFlood(t, processharness.FloodMalformed, 200)
}

// checkServedBesideFlood checks that regular clients are served in time beside flooding ones, and checks the memory.
func checkServedBesideFlood(t *testing.T, kind processharness.Misbehavior, clients int) {
	t.Helper()
	tier := newSmallestLimiter(t)
	p := startAll(t, tier)[0]
	load := startRegularLoad(tier)
	time.Sleep(time.Second) // connections to backends are open by then
	flood := tier.StartMisbehaving(0, clients, kind)
	time.Sleep(misbehaviorDuration)
	results := load.End()
	flood.End()
	served := checkAnsweredInTime(t, tier, results, 0)
	checkMemory(t, p)
	latency := p99(results, func(processharness.Result) bool { return true })
	t.Logf("%d of %d requests served, 99th percentile %v, beside %d of the flood", served, len(results), latency, flood.Sent.Load())
	if served < len(results)*9/10 {
		t.Errorf("%d of %d requests were served, want nine in ten", served, len(results))
	}
	const objective = 700 * time.Millisecond // of processharness.ClassIdempotent, the shortest one
	if latency > objective {
		t.Errorf("the 99th percentile of the latency is %v, want at most the objective of %v", latency, objective)
	}
}

// An attempt of a request begins no later than disconnectSlack after its client has closed its connection, however much of
// what the client sent is unread then.
func TestNoAttemptAfterClientLeftUnreadRequests(t *testing.T) {
	const clients = 10
	for _, size := range []int{10 << 10, 30 << 10, 200 << 10} {
		t.Run(fmt.Sprint(size>>10, " KiB"), func(t *testing.T) {
			tier := newSmallestLimiter(t)
			for _, b := range tier.Backends {
				b.SetDelay(400 * time.Millisecond)
			}
			p := startAll(t, tier)[0]
			left := map[string]time.Time{} // by request
			for client := range clients {
				ids := leaveUnreadRequests(t, tier.Limiters[0].Addr, client, size)
				for _, id := range ids {
					left[id] = time.Now()
				}
			}
			time.Sleep(2 * time.Second) // longer than two attempts, one after the other
			_, attempts := tier.Attempts()
			late := 0
			for _, a := range attempts {
				if at, ok := left[a.CallID]; ok && a.ArrivedAt.Sub(at) > disconnectSlack {
					late++
				}
			}
			if late > 0 {
				t.Errorf("%d of %d attempts began later than %v after the client had left", late, len(attempts), disconnectSlack)
			}
			checkMemory(t, p)
		})
	}
}

// leaveUnreadRequests pipelines requests of a number of bytes in total on one connection, and closes it. It returns the
// IDs of the requests.
func leaveUnreadRequests(t *testing.T, addr string, client, size int) (ids []string) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	var requests strings.Builder
	for requests.Len() < size {
		id := fmt.Sprintf("left-%d-%d", client, len(ids))
		ids = append(ids, id)
		requests.WriteString(readRequestText(id, client))
	}
	_ = conn.SetWriteDeadline(time.Now().Add(50 * time.Millisecond)) // the limiter need not read all of them
	_, _ = conn.Write([]byte(requests.String()))
	_ = conn.Close() // the limiter may have closed it
	return ids
}

// readRequestText returns the text of a request of class read.
func readRequestText(id string, customer int) string {
	return fmt.Sprintf("GET /%s/%016x HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: %s\r\nPlan: free\r\nX-Budget: 2000m\r\n"+
		"Quota-Info: units=1,spread=1,first=0\r\n\r\n", processharness.ClassIdempotent, customer, id)
}

// A request that must not be repeated runs once, also if its client leaves and it comes again with the same ID on another
// connection while its first attempt may still run, or after it was canceled.
func TestRequestOfClientThatLeftRunsOnceIfSentAgain(t *testing.T) {
	tier := newSmallestLimiter(t)
	for _, b := range tier.Backends {
		b.SetDelay(300 * time.Millisecond)
	}
	startAll(t, tier)
	const requests = 20
	for n := range requests {
		for range 2 {
			sendAndLeave(t, tier.Limiters[0].Addr, n)
			time.Sleep(20 * time.Millisecond)
		}
	}
	checkRanOnce(t, tier, requests)
}

// The same holds where another process of the limiter takes over before the request comes again.
func TestRequestOfClientThatLeftRunsOnceOverHotRestart(t *testing.T) {
	tier := newTier(t, 1, 3)
	for _, b := range tier.Backends {
		b.SetDelay(300 * time.Millisecond)
	}
	startAll(t, tier)
	const requests = 10
	for n := range requests {
		sendAndLeave(t, tier.Limiters[0].Addr, n)
	}
	successor := tier.Limiters[0].Start()
	processharness.WaitUntil(t, "the takeover by the successor", func() bool { return successor.HasLogged("takes over") })
	for n := range requests {
		sendAndLeave(t, tier.Limiters[0].Addr, n)
	}
	checkRanOnce(t, tier, requests)
}

func abandonedCallID(n int) string { return fmt.Sprintf("again-%d", n) }

// sendAndLeave sends a request that must not be repeated, and closes the connection while a backend may work on it.
func sendAndLeave(t *testing.T, addr string, n int) {
	t.Helper()
	text := readRequestText(abandonedCallID(n), n)
	text = strings.Replace(text, "GET /"+processharness.ClassIdempotent, "POST /"+processharness.ClassNonIdempotent, 1)
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = conn.Write([]byte(text)) // the attempts show whether it was read
	time.Sleep(100 * time.Millisecond)
	_ = conn.Close() // the client leaves
}

// checkRanOnce checks that each request of sendAndLeave reached a backend once.
func checkRanOnce(t *testing.T, tier *processharness.Tier, requests int) {
	t.Helper()
	attempts, _ := tier.Attempts()
	repeated := 0
	for n := range requests {
		if attempts[abandonedCallID(n)] > 1 {
			repeated++
		}
	}
	if repeated > 0 {
		t.Errorf("%d of %d requests that must not be repeated reached backends twice", repeated, requests)
	}
	if len(attempts) < requests {
		t.Errorf("%d of %d requests reached a backend, so the test proves little", len(attempts), requests)
	}
}

// A client that stops after a few bytes of a further request on a kept connection gets an error or a close within the time
// that misbehaving clients are owed.
func TestClientStopsAtStartOfNextRequest(t *testing.T) {
	const owed = 3 * time.Second
	tier := newSmallestLimiter(t)
	startAll(t, tier)
	for sent := 1; sent <= 3; sent++ {
		t.Run(fmt.Sprint(sent), func(t *testing.T) {
			t.Parallel()
			conn, err := net.Dial("tcp", tier.Limiters[0].Addr)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }() // the limiter may have closed it
			buffer := make([]byte, 4096)
			_ = conn.SetDeadline(time.Now().Add(2 * owed)) // the next read fails if the connection is closed
			if _, err := conn.Write([]byte("GET /ready HTTP/1.1\r\nHost: backend.local\r\n\r\n")); err != nil {
				t.Fatal(err)
			}
			if _, err := conn.Read(buffer); err != nil {
				t.Fatal(err)
			}
			if _, err := conn.Write([]byte("GET"[:sent])); err != nil {
				t.Fatal(err)
			}
			stoppedAt := time.Now()
			_, err = conn.Read(buffer)
			if took := time.Since(stoppedAt); took > owed {
				t.Errorf("after %v: %v; want an error response or a close within %v", took, err, owed)
			}
		})
	}
}
