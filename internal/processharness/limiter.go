package processharness

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
)

// Limiter is a limiter of a tier. It may have several processes, one after another or during a hot restart.
type Limiter struct {
	Number int
	Addr   string   // where clients connect
	Dir    string   // TMPDIR of its processes
	Env    []string // additional environment of its processes
	tier   *Tier
}

// Config returns the configuration of the limiter, with the fields of the configuration file.
func (l *Limiter) Config() map[string]any {
	tier := l.tier
	return map[string]any{
		"name":        fmt.Sprintf("n%d", l.Number),
		"listen":      l.Addr,
		"discovery":   tier.discovery.addr(),
		"seed":        "8c1f30d27a5be964",
		"limits":      map[string]any{"cores": 1, "memory_mb": tier.MemoryMB, "sockets": tier.Sockets},
		"peer_listen": tier.Network.ListenAddr(l.Number),
		"peers":       tier.Network.PeerAddrs(l.Number),
		"known":       tier.discovery.snapshot(0, true),
		"settings":    l.settings(),
	}
}

// settings returns the settings, the part of the configuration that limiters in the simulation also have.
func (l *Limiter) settings() map[string]any {
	limiters := len(l.tier.Limiters)
	settings := map[string]any{
		"siblings":         limiters,
		"me":               l.Number,
		"zone":             "a",
		"granularity_s":    0.002,
		"classes":          requestClasses(),
		"tiers_of_service": l.tier.plans(),
		"family_info":      map[string]any{"most_units": 4, "peer_in_per_s": 60},
		"allowed": map[string]any{
			"peers":             limiters > 1,
			"connect_timeout_s": 0.25,
			"idle_close_s":      15,
			"max_attempts":      3,
			"may_cancel":        true,
			"retry_after":       true,
			"max_retry_after_s": 1,
		},
	}
	if l.tier.ReportUtilization {
		settings["feedback"] = map[string]any{"fields": []string{"util"}}
	}
	return settings
}

// The request classes of each tier. They differ in whether a request may be repeated.
const (
	ClassIdempotent    = "read"
	ClassKeyed         = "post" // may be repeated with the same idempotency key
	ClassNonIdempotent = "pay"  // must not be repeated
)

// requestClasses returns the request classes in the form of the configuration file.
func requestClasses() []map[string]any {
	return []map[string]any{
		{
			"name": ClassIdempotent, "effect": "idempotent", "group": "all",
			"on_time_s": 0.7, "deadline_s": 2, "importance": 2,
		},
		{
			"name": ClassKeyed, "effect": "deduplicated", "group": "all", "window_s": keyWindow.Seconds(),
			"on_time_s": 1, "deadline_s": 3, "importance": 3,
		},
		{
			"name": ClassNonIdempotent, "effect": "at_most_once", "group": "all",
			"on_time_s": 1, "deadline_s": 2, "importance": 3,
		},
	}
}

// plans returns the plans in the form of the configuration file.
func (tier *Tier) plans() []map[string]any {
	var plans []map[string]any
	for _, p := range tier.Plans {
		plans = append(plans, map[string]any{
			"name":             p.Name,
			"refill":           p.Rate,
			"depth":            p.Burst,
			"concurrency":      p.MaxConcurrent,
			"pays":             1,
			"never_over_rate":  p.CeilingRate,
			"never_over_depth": p.CeilingBurst,
		})
	}
	return plans
}

// Start starts a process of the limiter, which is killed when the host ends. The change functions may modify the
// configuration before it is written.
func (l *Limiter) Start(change ...func(map[string]any)) *Process {
	host := l.tier.Host
	host.Helper()
	p := &Process{AdminAddr: freeAddr(host, "tcp"), Ended: make(chan error, 1), log: &lockedBuffer{}}
	config := l.Config()
	config["console"] = p.AdminAddr
	for _, f := range change {
		f(config)
	}
	p.Cmd = l.command(l.writeConfig(config))
	p.Cmd.Stdout, p.Cmd.Stderr = p.log, p.log
	host.Cleanup(func() {
		if p.end() && host.Failed() {
			host.Logf("n%d, process %d:\n%s", l.Number, p.Cmd.Process.Pid, p.log)
		}
	})
	if err := p.start(); err != nil {
		host.Fatal(err)
	}
	go func() { p.Ended <- p.Cmd.Wait() }() // ends with the process
	return p
}

// command returns the command that starts a process with a configuration file. The process is killed when this
// program ends, however it ends: otherwise it would keep running, and retry its watch at a port that another program
// may use by then.
func (l *Limiter) command(configPath string) *exec.Cmd {
	program := l.tier.Program
	cmd := exec.Command(program[0], program[1:]...)
	cmd.Env = slices.Concat(os.Environ(), l.tier.Env, l.Env)
	cmd.Env = append(cmd.Env, "ROUTER_CONFIG="+configPath, "TMPDIR="+l.Dir)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // sent when the thread that starts the process ends; Go keeps that thread
	return cmd
}

// writeConfig writes a configuration to a new file, and returns the path.
func (l *Limiter) writeConfig(config map[string]any) string {
	host := l.tier.Host
	host.Helper()
	data, err := json.Marshal(config)
	if err != nil {
		host.Fatal(err)
	}
	path := filepath.Join(host.TempDir(), "config.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		host.Fatal(err)
	}
	return path
}
