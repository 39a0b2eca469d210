package processharness

import (
	"bytes"
	"errors"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Process is a process of a limiter.
type Process struct {
	Cmd     *exec.Cmd
	Console string     // address of the administration server
	Ended   chan error // receives the result of the process once
	log     *lockedBuffer

	mu   sync.Mutex // of the start of Cmd and what follows
	over bool       // it is not started any more
}

// errOver is the error of a start after the end of the host.
var errOver = errors.New("a process is to be started in a host that has ended")

// start starts the process, unless its host has ended.
func (p *Process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.over {
		return errOver
	}
	return p.Cmd.Start()
}

// end kills the process, or keeps it from being started. It reports whether it was started.
func (p *Process) end() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.over = true
	if p.Cmd.Process == nil {
		return false
	}
	_ = p.Cmd.Process.Kill() // it may have ended
	return true
}

// Signal sends a signal; one to a process that has ended has no effect.
func (p *Process) Signal(s syscall.Signal) {
	_ = p.Cmd.Process.Signal(s) // fails only for a process that has ended
}

// HasLogged reports whether a line with a text was logged. The log comes through a pipe and may be later than
// what the process is known to have done: wait for a line that is due.
func (p *Process) HasLogged(text string) bool { return strings.Contains(p.log.String(), text) }

// LastLogged returns the last line with a text that was logged, "" if there is none.
func (p *Process) LastLogged(text string) string {
	lines := strings.Split(p.log.String(), "\n")
	for i := len(lines) - 1; i >= 0; i-- {
		if strings.Contains(lines[i], text) {
			return lines[i]
		}
	}
	return ""
}

// LogTail returns the last lines that were logged, at most so many.
func (p *Process) LogTail(lines int) []string {
	all := strings.Split(strings.TrimSpace(p.log.String()), "\n")
	return all[max(len(all)-lines, 0):]
}

// Healthy reports whether the process accepts clients, as its administration server says.
func (p *Process) Healthy() bool {
	resp, err := consoleClient(time.Second).Get("http://" + p.Console + "/healthcheck")
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // only the status counts
	return resp.StatusCode == http.StatusOK
}

// consoleClient is an HTTP client that keeps no connections.
func consoleClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

// Await waits until the process accepts clients, and ends the test if it does not soon.
func (p *Process) Await(t Host) {
	t.Helper()
	Until(t, "a process that accepts clients", p.Healthy)
}

// Wait waits for the end of the process and returns its result. It ends the test if the process does not
// end soon.
func (p *Process) Wait(t Host) error {
	t.Helper()
	select {
	case err := <-p.Ended:
		p.Ended <- err // for whoever waits next
		return err
	case <-time.After(waitTimeout):
		t.Fatal("the process did not end")
		return nil
	}
}

// lockedBuffer keeps what a process logs.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(data)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}
