package rig

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// A Record is the file in which a case writes what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, out: bufio.NewWriter(file), start: time.Now()}, nil
}

// Line writes a line, with the time since the start.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%10.4f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// NotRun reports why a case could not run.
func (r *Record) NotRun(why any) int {
	r.Say("not run: %v", why)
	return NotRun
}

// Say writes a line to the record and to standard output.
func (r *Record) Say(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	r.Line(format, args...)
}

// Close writes out what is buffered.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
