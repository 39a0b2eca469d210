package processharness

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// Host is what a tier runs in: a test, or a command that implements the same methods.
type Host interface {
	Helper()
	Fatal(args ...any) // does not return
	Errorf(format string, args ...any)
	Logf(format string, args ...any)
	Failed() bool
	Cleanup(func()) // the functions run when the host ends, the last one first
	TempDir() string
}

const (
	// waitTimeout is how long WaitUntil and Process.Wait wait at most.
	waitTimeout = 20 * time.Second
	// waitPoll is the interval at which WaitUntil checks its condition.
	waitPoll = 5 * time.Millisecond
)

// WaitUntil waits until a condition holds, and fails the host if it does not hold within waitTimeout. what describes the
// condition in the failure text.
func WaitUntil(h Host, what string, holds func() bool) {
	h.Helper()
	for end := time.Now().Add(waitTimeout); !holds(); time.Sleep(waitPoll) {
		if time.Now().After(end) {
			h.Fatal("timed out waiting for: ", what)
		}
	}
}

const (
	// firstPort is the lowest port that freeAddr returns, and portCount the number of ports from there on.
	firstPort, portCount = 10000, 20000
	// addrAttempts is how many ports freeAddr tries in one call.
	addrAttempts = 1000
)

// portsTried counts the ports that freeAddr tried in all calls; the next call continues from there.
var portsTried atomic.Uint32

// freeAddr returns a loopback address at which nothing listens. Its IP is derived from the ID of this process, so that
// no socket whose port the kernel chooses takes the address before a limiter listens there.
func freeAddr(h Host, network string) string {
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.1", 64+((pid>>8)&63), pid&255)
	for range addrAttempts {
		addr := fmt.Sprintf("%s:%d", ip, firstPort+portsTried.Add(1)%portCount)
		if isFree(network, addr) {
			return addr
		}
	}
	h.Fatal("found no free loopback address")
	return ""
}

// isFree reports whether nothing listens at an address.
func isFree(network, addr string) bool {
	if network == "udp" {
		conn, err := net.ListenPacket("udp4", addr)
		if err != nil {
			return false
		}
		_ = conn.Close() // opened only as a check
		return true
	}
	listener, err := net.Listen("tcp4", addr)
	if err != nil {
		return false
	}
	_ = listener.Close() // opened only as a check
	return true
}
