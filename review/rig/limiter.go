// Package rig has what the cases share: limiters as the deploy file starts them, and small stand-ins for discovery,
// servers, the network and clients. All of it stays on loopback addresses.
package rig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Trouble reports whether the case plays its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// A Limiter is a limiter process, as the deploy file starts it.
type Limiter struct {
	Addr    string // where clients connect
	Console string // where operators call
	cmd     *exec.Cmd
	done    chan struct{}
	dir     string // TMPDIR, which a successor shares
	config  string // path of the configuration
	run     string // command
}

// running are the processes that are to be ended when the case is told to end.
var running struct {
	sync.Mutex
	limiters []*Limiter
	commands []*exec.Cmd
}

// Command runs a command of the program, and returns what it printed.
func Command(args ...string) (string, error) {
	command := exec.Command(filepath.Join(root(), "bin", "lemongate"), args...)
	var out bytes.Buffer
	command.Stdout, command.Stderr = &out, &out
	running.Lock()
	err := command.Start()
	if err == nil {
		running.commands = append(running.commands, command)
	}
	running.Unlock()
	if err != nil {
		return "", err
	}
	err = command.Wait()
	return strings.TrimSpace(out.String()), err
}

// Guard ends the case and its processes after 115 s, or when it is told to end.
func Guard() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-stop:
		case <-time.After(115 * time.Second):
		}
		running.Lock()
		for _, l := range running.limiters {
			_ = l.cmd.Process.Kill()
			_ = os.RemoveAll(l.dir)
		}
		for _, command := range running.commands {
			_ = command.Process.Kill()
		}
		os.Exit(NotRun)
	}()
}

// Options describe the deployment of a limiter.
type Options struct {
	Discovery string
	Classes   []map[string]any
	MemoryMB  int
	Sockets   int

	// Of a tier: the number of this limiter, and the addresses at which limiters take each other's messages.
	Self  int
	Peers []string
	// Operator is the text of the operators' file, in place of the one that the deploy file names; empty for that one.
	Operator string
}

// root is the folder of the repository.
func root() string { return os.Getenv("REVIEW_ROOT") }

// runCommand returns the command of the deploy file that starts a limiter.
func runCommand() (string, error) {
	data, err := os.ReadFile(filepath.Join(root(), "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	m := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(data)
	if m == nil {
		return "", fmt.Errorf("deploy/balancer.toml: no run command")
	}
	return string(m[1]), nil
}

// FreePacketAddr returns a loopback address whose port is free for datagrams.
func FreePacketAddr() string {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = c.Close() }()
	return c.LocalAddr().String()
}

// FreeAddr returns a loopback address whose port is free.
func FreeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// Start starts a limiter, and waits until it is ready.
func Start(o Options, logFile string) (*Limiter, error) {
	run, err := runCommand()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	if o.Operator != "" {
		operator := filepath.Join(dir, "operator.json")
		if err := os.WriteFile(operator, []byte(o.Operator), 0o600); err != nil {
			return nil, err
		}
		run = strings.Replace(run, "deploy/lemongate.json", operator, 1)
	}
	l := &Limiter{Addr: FreeAddr(), Console: FreeAddr(), dir: dir, run: run, done: make(chan struct{})}
	allowed := map[string]any{
		"connect_timeout_s": 0.25, "idle_close_s": 15.0, "max_attempts": 5, "max_retry_after_s": 1.0, "may_cancel": true,
		"open_cap": 20000, "parallel_tries": false, "peers": false, "probes": false, "retry_after": true, "streams_per_conn": 1,
	}
	allowed["peers"] = len(o.Peers) > 0
	config := map[string]any{
		"name": fmt.Sprintf("n%d", o.Self), "listen": l.Addr, "discovery": o.Discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": o.MemoryMB, "sockets": o.Sockets},
		"settings": map[string]any{
			"me": o.Self, "siblings": max(len(o.Peers), 1), "zone": "hall-a", "zones": []string{"hall-a"}, "granularity_s": 0.002,
			"membership_mode": "push", "weight_source": "none", "kinds": []string{"std-2c"},
			"classes": o.Classes, "allowed": allowed, "clients": map[string]any{"marks_retry": true},
			"family": "gate", "family_info": map[string]any{"most_units": 4, "peer_in_per_s": 40.0},
			"feedback": map[string]any{"fields": []string{}, "how": "none"},
			"rules": map[string]any{
				"answer_slack_s": 0.008, "ask_within_s": 10.0, "cold_from": 0.17, "drain_grace_s": 0.25, "fall_multiple": 4.0,
				"fall_s": 1.5, "warm_within_s": 17.0,
			},
			"tiers_of_service": []map[string]any{{
				"name": "provincial", "refill": 400.0, "depth": 800.0, "pays": 1.4, "concurrency": 0, "excess_worth": 0.0,
				"over_cost": 0.5, "never_over_rate": 0.0, "never_over_depth": 0.0, "tolerance": 0.0,
			}},
		},
	}
	if len(o.Peers) > 0 {
		config["peer_listen"], config["peers"] = o.Peers[o.Self], o.Peers
	}
	data, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	l.config = filepath.Join(dir, "config.json")
	if err := os.WriteFile(l.config, data, 0o600); err != nil {
		return nil, err
	}
	if err := l.start(logFile); err != nil {
		_ = os.RemoveAll(dir)
		return nil, err
	}
	return l, l.waitReady()
}

// Again starts a limiter that has ended once more, from nothing, and waits until it is ready.
func (l *Limiter) Again(logFile string) error {
	<-l.done
	l.done = make(chan struct{})
	if err := l.start(logFile); err != nil {
		return err
	}
	return l.waitReady()
}

// start starts the process with the command of the deploy file.
func (l *Limiter) start(logFile string) error {
	log, err := os.Create(logFile)
	if err != nil {
		return err
	}
	l.cmd = exec.Command("/bin/sh", "-c", l.run)
	l.cmd.Dir = root()
	l.cmd.Stdout, l.cmd.Stderr = log, log
	for _, variable := range os.Environ() {
		if !strings.HasPrefix(variable, "ROUTER_") && !strings.HasPrefix(variable, "TMPDIR=") {
			l.cmd.Env = append(l.cmd.Env, variable)
		}
	}
	l.cmd.Env = append(l.cmd.Env, "ROUTER_CONFIG="+l.config, "ROUTER_CONSOLE="+l.Console, "TMPDIR="+l.dir)
	if err := l.cmd.Start(); err != nil {
		return err
	}
	running.Lock()
	running.limiters = append(running.limiters, l)
	running.Unlock()
	cmd, done := l.cmd, l.done
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
	return nil
}

// StartSuccessor starts a second process of the limiter: the same addresses and TMPDIR, another second address. It
// waits until that process says yes at its health check.
func (l *Limiter) StartSuccessor(logFile string) (*Limiter, error) {
	s := &Limiter{Addr: l.Addr, Console: FreeAddr(), dir: l.dir, config: l.config, run: l.run, done: make(chan struct{})}
	if err := s.start(logFile); err != nil {
		return nil, err
	}
	return s, s.wait("http://"+s.Console+"/healthcheck", 5*time.Millisecond)
}

func (l *Limiter) waitReady() error { return l.wait("http://"+l.Addr+"/ready", 50*time.Millisecond) }

// wait calls until the answer is 200.
func (l *Limiter) wait(url string, interval time.Duration) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(interval) {
		response, err := client.Get(url)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		if l.Ended() {
			return fmt.Errorf("the limiter ended before it was ready")
		}
	}
	return fmt.Errorf("the limiter was not ready within 10 s")
}

// Signal sends the process a signal.
func (l *Limiter) Signal(signal syscall.Signal) { _ = l.cmd.Process.Signal(signal) }

// PID returns the process ID of the limiter.
func (l *Limiter) PID() int { return l.cmd.Process.Pid }

// Ended reports whether the process has ended.
func (l *Limiter) Ended() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

// Stop ends the limiter: SIGTERM, and SIGKILL after 8 s.
func (l *Limiter) Stop() {
	l.Signal(syscall.SIGTERM)
	select {
	case <-l.done:
	case <-time.After(8 * time.Second):
		_ = l.cmd.Process.Kill()
		<-l.done
	}
	_ = os.RemoveAll(l.dir)
}
