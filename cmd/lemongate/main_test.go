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

// run runs the program with the given arguments, and returns what it writes to standard output.
func run(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	cmd := command()
	cmd.Writer = &out
	err := cmd.Run(context.Background(), append([]string{"lemongate"}, args...))
	return out.String(), err
}

// TestMain lets the test binary run as a limiter's process, or as one side of a hot restart that fails at a given
// step.
func TestMain(m *testing.M) {
	switch role, script, _ := strings.Cut(os.Getenv("LEMONGATE_TEST"), ":"); role {
	case "serve":
		os.Args = append([]string{"lemongate"}, os.Args[1:]...)
		main()
	case "successor":
		processharness.RunFailingSuccessor(script)
	case "predecessor":
		processharness.RunFailingPredecessor(script)
	default:
		code := m.Run()
		if programDir != "" {
			_ = os.RemoveAll(programDir) // a folder that stays behind does no harm
		}
		os.Exit(code)
	}
}

// The printed version is the newest one that the changelog describes.
func TestVersion(t *testing.T) {
	out, err := run(t, "version")
	if err != nil || !strings.HasPrefix(out, "lemongate "+release+" ") {
		t.Errorf("the version command prints %q, %v; want the release", out, err)
	}
	text, err := os.ReadFile("../../CHANGELOG.md")
	if err != nil {
		t.Fatal(err)
	}
	_, after, _ := strings.Cut(string(text), "\n## ")
	if newest, _, _ := strings.Cut(after, ","); newest != release {
		t.Errorf("the newest version in the changelog is %q, but the release is %q", newest, release)
	}
}

// An invalid configuration gives a single error that names the fault.
func TestInvalidConfig(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(`{"settings":{}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("ROUTER_CONFIG", path)
	for _, name := range []string{"check", "serve"} {
		if _, err := run(t, name); err == nil || err.Error() != "configuration: settings: no classes" {
			t.Errorf("%s with an invalid configuration: got error %v, want one that the settings have no classes", name, err)
		}
	}
	if _, err := run(t, "serve", "--log-level", "loud"); err == nil || !strings.Contains(err.Error(), "log-level") {
		t.Errorf("serve with an invalid log level: got error %v, want one that names the flag log-level", err)
	}
}

// limitRuntime sets GOMAXPROCS to the whole cores of the limit, and the Go memory limit to heapFraction of the memory, but
// leaves programMemory.
func TestLimitRuntime(t *testing.T) {
	procs, memory := runtime.GOMAXPROCS(0), debug.SetMemoryLimit(-1)
	defer func() {
		runtime.GOMAXPROCS(procs)
		debug.SetMemoryLimit(memory)
	}()
	limitRuntime(config.Limits{Cores: 1.5, MemoryMB: 200}, 1)
	if p, m := runtime.GOMAXPROCS(0), debug.SetMemoryLimit(-1); p != 1 || m != 140<<20 {
		t.Errorf("got GOMAXPROCS %d and a memory limit of %d bytes, want 1 and 140 MiB", p, m)
	}
	limitRuntime(config.Limits{MemoryMB: 32}, 1) // the program itself takes 15 of it
	if m := debug.SetMemoryLimit(-1); m != 17<<20 {
		t.Errorf("with 32 MiB of memory: got a memory limit of %d bytes, want 17 MiB", m)
	}
}
