package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"sync"

	"github.com/urfave/cli/v3"
)

// errStopped ends what could not go on; why was told.
var errStopped = errors.New("did not come to its end")

// A host is what processes of the program are played in: a command's stand-in for a test. All that
// was started in it ends with it, also after a panic or Ctrl-C.
type host struct {
	out    io.Writer
	parent *host
	fatal  chan struct{} // closed by the first Fatal

	mu      sync.Mutex
	cleanup []func()
	failed  bool
	ended   sync.Once
	stopped sync.Once
}

func newHost(out io.Writer) *host { return &host{out: out, fatal: make(chan struct{})} }

// within returns a host that ends before this one does.
func (h *host) within() *host {
	in := &host{out: h.out, parent: h, fatal: make(chan struct{})}
	h.Cleanup(in.end)
	return in
}

// run does something, and ends all that it started.
func (h *host) run(ctx context.Context, do func() error) error {
	done := make(chan error, 1)
	go func() {
		defer func() {
			if p := recover(); p != nil {
				h.end()
				panic(p)
			}
		}()
		done <- do()
	}()
	defer h.end()
	select {
	case err := <-done:
		return err
	case <-h.fatal:
		return errStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Helper is a test's.
func (h *host) Helper() {}

// Fatal ends the host, and the goroutine that calls it.
func (h *host) Fatal(args ...any) {
	h.Errorf("%s", fmt.Sprint(args...))
	for up := h; up != nil; up = up.parent {
		up.stopped.Do(func() { close(up.fatal) })
	}
	runtime.Goexit()
}

// Errorf tells that something failed.
func (h *host) Errorf(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failed = true
	fmt.Fprintf(h.out, format+"\n", args...)
}

// Logf tells something.
func (h *host) Logf(format string, args ...any) { fmt.Fprintf(h.out, format+"\n", args...) }

// Failed tells whether anything failed.
func (h *host) Failed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failed
}

// Cleanup has something done at the end, the last one first.
func (h *host) Cleanup(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cleanup = append(h.cleanup, f)
}

// TempDir is a folder that goes with the host.
func (h *host) TempDir() string {
	dir, err := os.MkdirTemp("", "lemongate-experiment")
	if err != nil {
		h.Fatal(err)
	}
	h.Cleanup(func() { os.RemoveAll(dir) })
	return dir
}

// end ends all that was started, once.
func (h *host) end() {
	h.ended.Do(func() {
		h.mu.Lock()
		list := h.cleanup
		h.mu.Unlock()
		for i := len(list) - 1; i >= 0; i-- {
			list[i]()
		}
	})
}

// limiterProgram is the limiter's program that a command is to start.
func limiterProgram(cmd *cli.Command) (string, error) {
	program := cmd.String("program")
	if program == "" {
		self, err := os.Executable()
		if err != nil {
			return "", err
		}
		program = filepath.Join(filepath.Dir(self), "lemongate")
	}
	if _, err := os.Stat(program); err != nil {
		return "", fmt.Errorf("program: %w", err)
	}
	return program, nil
}
