package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync"

	"github.com/urfave/cli/v3"
)

// errStopped is the error of a run that Fatal stopped; Fatal has printed the reason.
var errStopped = errors.New("the run stopped after a failure")

// host takes the place of a test in a command that runs processes of the limiter; it implements
// processharness.Host. Everything started with it ends with it, also after a panic or an interrupt.
type host struct {
	out    io.Writer
	parent *host
	fatal  chan struct{} // closed by the first Fatal

	mu       sync.Mutex
	cleanups []func()
	ended    bool // cleanup functions were called, or are being called
	failed   bool

	endOnce  sync.Once
	failOnce sync.Once
}

func newHost(out io.Writer) *host { return &host{out: out, fatal: make(chan struct{})} }

// newChild returns a host that ends when its owner ends it, at the latest when h ends.
func (h *host) newChild() *host {
	child := &host{out: h.out, parent: h, fatal: make(chan struct{})}
	h.Cleanup(child.end)
	return child
}

// run calls a function, waits for it, and ends everything that it started. It returns early if the context is done or the
// host fails; the goroutine of the function then ends with the program.
func (h *host) run(ctx context.Context, do func() error) error {
	done := make(chan error, 1)
	go func() {
		defer h.endAfterPanic()
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

// endAfterPanic ends the host and panics again, if the goroutine panics.
func (h *host) endAfterPanic() {
	if reason := recover(); reason != nil {
		h.end()
		panic(reason)
	}
}

// Helper does nothing; processharness.Host requires it.
func (h *host) Helper() {}

// Fatal fails the host and its ancestors, and ends the calling goroutine.
func (h *host) Fatal(args ...any) {
	h.Errorf("%s", fmt.Sprint(args...))
	for ancestor := h; ancestor != nil; ancestor = ancestor.parent {
		ancestor.failOnce.Do(func() { close(ancestor.fatal) })
	}
	runtime.Goexit()
}

// Errorf prints a failure and marks the host as failed.
func (h *host) Errorf(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failed = true
	printf(h.out, format+"\n", args...)
}

// Logf prints a line.
func (h *host) Logf(format string, args ...any) { printf(h.out, format+"\n", args...) }

// Failed reports whether anything failed.
func (h *host) Failed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failed
}

// Cleanup registers a function that is called when the host ends; the function registered last is called first. After the
// host has ended, Cleanup calls the function at once, because an interrupted run may have been starting a process.
func (h *host) Cleanup(f func()) {
	h.mu.Lock()
	ended := h.ended
	if !ended {
		h.cleanups = append(h.cleanups, f)
	}
	h.mu.Unlock()
	if ended {
		f()
	}
}

// TempDir returns a new directory that is removed when the host ends.
func (h *host) TempDir() string {
	dir, err := os.MkdirTemp("", "lemongate-experiment")
	if err != nil {
		h.Fatal(err)
	}
	h.Cleanup(func() { _ = os.RemoveAll(dir) }) // what cannot be removed stays in the system's temporary directory
	return dir
}

// end calls the registered cleanup functions in reverse order. Further calls do nothing.
func (h *host) end() {
	h.endOnce.Do(func() {
		h.mu.Lock()
		h.ended = true
		cleanup := h.cleanups
		h.mu.Unlock()
		for _, f := range slices.Backward(cleanup) {
			f()
		}
	})
}

// limiterProgram returns the path of the limiter program: that of the flag, by default lemongate beside this program.
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
