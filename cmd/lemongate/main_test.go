package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strings"
	"testing"

	"lemongate/internal/config"
	"lemongate/internal/processharness"
)

func run(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	cmd := command()
	cmd.Writer = &out
	err := cmd.Run(context.Background(), append([]string{"lemongate"}, args...))
	return out.String(), err
}

// TestMain lets the test program be a limiter's process, or one side of a hot restart that fails at a
// step.
func TestMain(m *testing.M) {
	switch role, script, _ := strings.Cut(os.Getenv("LEMONGATE_TEST"), ":"); role {
	case "serve":
		os.Args = append([]string{"lemongate"}, os.Args[1:]...)
		main()
	case "successor":
		processharness.PlayFailingSuccessor(script)
	case "predecessor":
		processharness.PlayFailingPredecessor(script)
	default:
		os.Exit(m.Run())
	}
}

// The version that is printed is the newest that the changelog describes.
func TestVersion(t *testing.T) {
	out, err := run(t, "version")
	if err != nil || !strings.HasPrefix(out, "lemongate "+release+" ") {
		t.Errorf("%q, %v", out, err)
	}
	text, err := os.ReadFile("../../CHANGELOG.md")
	if err != nil {
		t.Fatal(err)
	}
	_, after, _ := strings.Cut(string(text), "\n## ")
	if newest, _, _ := strings.Cut(after, ","); newest != release {
		t.Errorf("the changelog begins with %q, the release is %q", newest, release)
	}
}

// An invalid configuration gives one plain error.
func TestInvalidConfig(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(`{"settings":{}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("ROUTER_CONFIG", path)
	for _, name := range []string{"check", "serve"} {
		if _, err := run(t, name); err == nil || err.Error() != "configuration: settings: no classes" {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := run(t, "serve", "--log-level", "loud"); err == nil || !strings.Contains(err.Error(), "log-level") {
		t.Errorf("invalid level: %v", err)
	}
}

// The Go runtime is kept within the platform's limits.
func TestLimitRuntime(t *testing.T) {
	procs, memory := runtime.GOMAXPROCS(0), debug.SetMemoryLimit(-1)
	defer func() {
		runtime.GOMAXPROCS(procs)
		debug.SetMemoryLimit(memory)
	}()
	limitRuntime(config.Limits{Cores: 1.5, MemoryMB: 200}, 1)
	if p, m := runtime.GOMAXPROCS(0), debug.SetMemoryLimit(-1); p != 1 || m != 140<<20 {
		t.Errorf("%d procs, %d bytes", p, m)
	}
}
