package processharness

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"time"

	"lemongate/internal/hotrestart"
	"lemongate/internal/hotrestart/link"
)

// This file implements, as a separate process, a successor or a predecessor that fails at one step of a hot restart.
// A script of the form STEP:FAILURE selects the step and how the process fails.

// The failures that a script can select.
const (
	failureEnd  = "end"  // the process exits
	failureStop = "stop" // the process stops itself with SIGSTOP, and hangs if it is continued
	// With any other text the process hangs.
)

const (
	// linkVersion is the version of the link's messages.
	linkVersion = 1
	// heartbeatCount is how many heartbeats RunFailingSuccessor sends before its last step, at heartbeatInterval.
	heartbeatCount    = 5
	heartbeatInterval = 20 * time.Millisecond
	// flushDelay is the time allowed for a queued message to be written.
	flushDelay = 5 * time.Millisecond
	// exitLinkClosed is the exit code of a process whose link was closed by the other side.
	exitLinkClosed = 3
)

// limiterAddresses are the fields of the configuration with a limiter's own name and addresses.
type limiterAddresses struct {
	Name       string `json:"name"`
	Listen     string `json:"listen"`
	PeerListen string `json:"peer_listen"`
}

// readAddresses reads the configuration of this process.
func readAddresses() limiterAddresses {
	data, err := os.ReadFile(os.Getenv("ROUTER_CONFIG"))
	if err != nil {
		panic(err)
	}
	var addresses limiterAddresses
	if err := json.Unmarshal(data, &addresses); err != nil {
		panic(err)
	}
	return addresses
}

// linkPath returns the path of the socket through which the processes of the limiter connect to each other.
func (a limiterAddresses) linkPath() string { return link.Path(os.TempDir(), a.Name) }

// hello returns the body of a successor's first message.
func (a limiterAddresses) hello() []byte {
	body, err := json.Marshal(map[string]any{
		"Format": linkVersion, "Name": a.Name, "Listen": a.Listen, "Peers": a.PeerListen,
	})
	if err != nil {
		panic(err)
	}
	return body
}

// failingProcess is one of the two processes of a hot restart, which fails as its script says.
type failingProcess struct {
	conn    *link.Conn
	step    string // step at which it fails
	failure string
}

func newFailingProcess(conn *link.Conn, script string) *failingProcess {
	step, failure, _ := strings.Cut(script, ":")
	return &failingProcess{conn: conn, step: step, failure: failure}
}

// failAt fails if the script names the given step, and does not return in that case.
func (p *failingProcess) failAt(step string) {
	if p.step != step {
		return
	}
	fmt.Println("at", step)
	switch p.failure {
	case failureEnd:
		os.Exit(1)
	case failureStop:
		_ = syscall.Kill(os.Getpid(), syscall.SIGSTOP) // cannot fail
	}
	select {} // until the test kills the process
}

// await reads messages until it has received one of the given kind. The process exits if the link is closed.
func (p *failingProcess) await(kind hotrestart.Kind) {
	for {
		frame, err := p.conn.Read()
		if err != nil {
			os.Exit(exitLinkClosed)
		}
		if frame.Kind == uint8(kind) {
			return
		}
	}
}

// queue queues a message for writing.
func (p *failingProcess) queue(kind hotrestart.Kind, body []byte) {
	p.conn.Send(uint8(kind), body)
}

// write sends a message, and returns when the message is written.
func (p *failingProcess) write(kind hotrestart.Kind, body []byte, sockets ...syscall.Conn) {
	_ = p.conn.SendSync(uint8(kind), body, sockets...) // the next read fails if the link is closed
}

// RunFailingSuccessor acts as a successor that fails at the step of its script: hello, offer, prepared, transfer,
// taken, commit or beats.
func RunFailingSuccessor(script string) {
	addresses := readAddresses()
	conn, err := link.Dial(addresses.linkPath())
	if err != nil {
		panic(err)
	}
	p := newFailingProcess(conn, script)
	p.failAt("hello")
	p.queue(hotrestart.Hello, addresses.hello())
	p.await(hotrestart.Offer)
	p.failAt("offer")
	p.queue(hotrestart.Prepared, nil)
	if p.step == "prepared" {
		time.Sleep(flushDelay)
	}
	p.failAt("prepared")
	p.await(hotrestart.Transfer)
	p.failAt("transfer")
	p.write(hotrestart.Adopted, nil)
	p.failAt("taken")
	p.await(hotrestart.Commit)
	p.failAt("commit")
	for range heartbeatCount {
		p.write(hotrestart.Heartbeat, nil)
		time.Sleep(heartbeatInterval)
	}
	p.failAt("beats")
}

// RunFailingPredecessor acts as a predecessor that listens at the address for clients without accepting any, and
// fails at the step of its script: listening, hello, offer, prepared, transfer, taken or commit. It prints "ready" once
// it listens.
func RunFailingPredecessor(script string) {
	addresses := readAddresses()
	clients, err := net.Listen("tcp", addresses.Listen)
	if err != nil {
		panic(err)
	}
	successors, err := link.Listen(addresses.linkPath())
	if err != nil {
		panic(err)
	}
	fmt.Println("ready")
	conn, err := successors.Accept()
	if err != nil {
		panic(err)
	}
	p := newFailingProcess(conn, script)
	p.failAt("listening")
	p.await(hotrestart.Hello)
	p.failAt("hello")
	p.write(hotrestart.Offer, nil)
	p.failAt("offer")
	p.await(hotrestart.Prepared)
	p.failAt("prepared")
	p.write(hotrestart.Transfer, []byte(`{"Now":7200000000000}`), clients.(*net.TCPListener))
	p.failAt("transfer")
	p.await(hotrestart.Adopted)
	p.failAt("taken")
	p.write(hotrestart.Commit, nil)
	p.failAt("commit")
	select {} // until the test kills the process
}
