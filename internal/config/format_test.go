package config

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"lemongate/internal/golden"
)

// Guards the keys of the operators' file of release 0.8.0: each field has a distinct value and is read as it was then.
func TestOperatorFileOfEarlierRelease(t *testing.T) {
	path := filepath.Join(t.TempDir(), "operator.json")
	err := os.WriteFile(path, []byte(`{"takeover": {"on": true, "dir": "/here", "silence_ms": 1001, "trial_s": 12},
		"leases": {"on": true, "length_ms": 4003, "keepers": 3, "tasks": ["trials", "rollup", "restarts"]},
		"rollup": {"dir": "/there", "period_s": 61}, "restarts": {"most": 2, "turn_s": 31}}`), 0o600)
	if err != nil {
		t.Fatal(err)
	}
	var c Config
	if err := c.LoadOperator(path); err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "takeover %s %v %v\n", c.HotRestart.Dir, c.HotRestart.HeartbeatTimeout, c.HotRestart.ProbationDuration)
	fmt.Fprintf(&b, "leases %v %d %v\n", c.Leases.Duration, c.Leases.AcceptorCount, c.Leases.Tasks)
	fmt.Fprintf(&b, "rollup %s %v\n", c.Usage.Dir, c.Usage.Period)
	fmt.Fprintf(&b, "restarts %d %v\n", c.RestartSlots.MaxConcurrent, c.RestartSlots.Duration)
	golden.Equal(t, "operator.txt", []byte(b.String()))
	golden.Equal(t, "operator.schema.json", OperatorSchema())
}

// Guards the set of environment variables that are read at the start and at a reload.
func TestEnvironmentOfEarlierRelease(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(`{"name": "of the file", "discovery": "127.0.0.1:1"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	for _, load := range []func(func(string) string, time.Time) (*Config, error){Load, Reload} {
		var names []string
		_, err := load(func(name string) string {
			names = append(names, name)
			if name == "ROUTER_CONFIG" {
				return path
			}
			return ""
		}, time.Now())
		slices.Sort(names)
		fmt.Fprintf(&b, "%v\n", names)
		if err == nil {
			t.Error("a configuration without settings was accepted")
		}
	}
	golden.Equal(t, "environment.txt", []byte(b.String()))
}
