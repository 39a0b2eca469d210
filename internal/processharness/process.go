package processharness

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Process is a process of a limiter.
type Process struct {
	Cmd       *exec.Cmd
	AdminAddr string     // address of the administration server
	Ended     chan error // receives once the error with which the process ended
	log       *lockedBuffer

	mu        sync.Mutex // protects the start of Cmd, and hostEnded
	hostEnded bool       // the process must not be started any more
}

// errHostEnded is returned if a process is started after the end of its host.
var errHostEnded = errors.New("cannot start a process: its host has ended")

// start starts the process, unless its host has ended.
func (p *Process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hostEnded {
		return errHostEnded
	}
	return p.Cmd.Start()
}

// end kills the process, or prevents its start. It reports whether the process was started.
func (p *Process) end() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hostEnded = true
	if p.Cmd.Process == nil {
		return false
	}
	_ = p.Cmd.Process.Kill() // it may have ended
	return true
}

// Signal sends a signal to the process. It has no effect if the process has ended.
func (p *Process) Signal(s syscall.Signal) {
	_ = p.Cmd.Process.Signal(s) // fails only for a process that has ended
}

// HasLogged reports whether the process has logged a text. The log arrives through a pipe, so it may lag behind other
// signs of what the process has done: a caller that expects a line has to wait for it.
func (p *Process) HasLogged(text string) bool { return strings.Contains(p.log.String(), text) }

// LastLogged returns the last logged line that contains a text, "" if there is none.
func (p *Process) LastLogged(text string) string {
	lines := strings.Split(p.log.String(), "\n")
	for i := len(lines) - 1; i >= 0; i-- {
		if strings.Contains(lines[i], text) {
			return lines[i]
		}
	}
	return ""
}

// LogTail returns the last logged lines, at most the given number.
func (p *Process) LogTail(lines int) []string {
	all := strings.Split(strings.TrimSpace(p.log.String()), "\n")
	return all[max(len(all)-lines, 0):]
}

// Healthy reports whether the process accepts clients, according to its administration server.
func (p *Process) Healthy() bool {
	resp, err := adminClient(time.Second).Get("http://" + p.AdminAddr + "/healthcheck")
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // only the status is used
	return resp.StatusCode == http.StatusOK
}

// adminClient returns an HTTP client that keeps no idle connections.
func adminClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

// AwaitHealthy waits until the process accepts clients, and fails the host if it does not within waitTimeout.
func (p *Process) AwaitHealthy(h Host) {
	h.Helper()
	WaitUntil(h, "a process that accepts clients", p.Healthy)
}

// Wait waits for the end of the process and returns the error with which it ended. It fails the host if the process
// does not end within waitTimeout.
func (p *Process) Wait(h Host) error {
	h.Helper()
	select {
	case err := <-p.Ended:
		p.Ended <- err // for the next receiver
		return err
	case <-time.After(waitTimeout):
		h.Fatal("the process did not end within waitTimeout")
		return nil
	}
}

// lockedBuffer stores what a process logs.
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

// MemoryKB returns the memory of the process in KB as the operating system counts it, at present and at its peak. Both are
// 0 for a process that has ended.
func (p *Process) MemoryKB() (present, peak int) {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Cmd.Process.Pid)) // fails for a process that has ended
	for line := range strings.Lines(string(status)) {
		switch fields := strings.Fields(line); {
		case len(fields) < 2:
		case fields[0] == "VmRSS:":
			present, _ = strconv.Atoi(fields[1])
		case fields[0] == "VmHWM:":
			peak, _ = strconv.Atoi(fields[1])
		}
	}
	return present, peak
}
