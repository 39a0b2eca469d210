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

// This file plays one side of a takeover that fails at a step, as a process of its own: its
// script is STEP:HOW, and how it fails is end, stop or hang.

// fail does what a script wants at its step, and does not return then.
func fail(script, at string) {
	step, how, _ := strings.Cut(script, ":")
	if step != at {
		return
	}
	fmt.Println("at", at)
	switch how {
	case "end":
		os.Exit(1)
	case "stop":
		syscall.Kill(os.Getpid(), syscall.SIGSTOP)
	}
	select {}
}

// place is what the configuration says of the limiter's own place.
func place() (path string, hello []byte, listen string) {
	var c struct {
		Name, Listen string
		PeerListen   string `json:"peer_listen"`
	}
	data, err := os.ReadFile(os.Getenv("ROUTER_CONFIG"))
	if err == nil {
		err = json.Unmarshal(data, &c)
	}
	if err != nil {
		panic(err)
	}
	hello, _ = json.Marshal(map[string]any{"Format": 1, "Name": c.Name, "Listen": c.Listen, "Peers": c.PeerListen})
	return link.Path(os.TempDir(), c.Name), hello, c.Listen
}

func hear(c *link.Conn, want hotrestart.Kind) link.Frame {
	for {
		f, err := c.Read()
		if err != nil {
			os.Exit(3)
		}
		if f.Kind == uint8(want) {
			return f
		}
	}
}

// PlayHeir is a successor that fails at a step.
func PlayHeir(script string) {
	path, hello, _ := place()
	c, err := link.Dial(path)
	if err != nil {
		panic(err)
	}
	fail(script, "hello")
	c.Send(uint8(hotrestart.Hello), hello)
	hear(c, hotrestart.Offer)
	fail(script, "offer")
	c.Send(uint8(hotrestart.Prepared), nil)
	if strings.HasPrefix(script, "prepared") {
		time.Sleep(5 * time.Millisecond) // written
	}
	fail(script, "prepared")
	hear(c, hotrestart.Transfer)
	fail(script, "transfer")
	c.SendSync(uint8(hotrestart.Adopted), nil)
	fail(script, "taken")
	hear(c, hotrestart.Commit)
	fail(script, "commit")
	for range 5 {
		c.SendSync(uint8(hotrestart.Heartbeat), nil)
		time.Sleep(20 * time.Millisecond)
	}
	fail(script, "beats")
}

// PlayElder is one that runs already, takes no clients but holds their address, and fails at a
// step.
func PlayElder(script string) {
	path, _, listen := place()
	clients, err := net.Listen("tcp", listen)
	if err != nil {
		panic(err)
	}
	l, err := link.Listen(path)
	if err != nil {
		panic(err)
	}
	fmt.Println("ready")
	c, err := l.Accept()
	if err != nil {
		panic(err)
	}
	fail(script, "listening")
	hear(c, hotrestart.Hello)
	fail(script, "hello")
	c.SendSync(uint8(hotrestart.Offer), nil)
	fail(script, "offer")
	hear(c, hotrestart.Prepared)
	fail(script, "prepared")
	c.SendSync(uint8(hotrestart.Transfer), []byte(`{"Now":7200000000000}`), clients.(*net.TCPListener))
	fail(script, "transfer")
	hear(c, hotrestart.Adopted)
	fail(script, "taken")
	c.SendSync(uint8(hotrestart.Commit), nil)
	fail(script, "commit")
	select {}
}
