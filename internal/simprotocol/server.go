package simprotocol

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"time"

	"lemongate/internal/admission"
	"lemongate/internal/settings"
)

const (
	// maxLineBytes is the maximum length of a line of input; settings and long lists are much shorter.
	maxLineBytes = 16 << 20
	// bufferBytes is the size of the buffer for replies, and the initial size of the buffer for lines.
	bufferBytes = 1 << 16
)

// LineError is an error with the number of the line of input at which it occurred.
type LineError struct {
	Line int // from 1
	Err  error
}

func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the error without the line number.
func (e *LineError) Unwrap() error { return e.Err }

// server serves the limiters of one process. They share only the clock of the batch.
type server struct {
	input       *bufio.Scanner
	output      *bufio.Writer
	line        int                              // number of the line read last, from 1
	now         time.Duration                    // clock time of the current batch
	controllers map[string]*admission.Controller // by the limiters' names
	actions     []admission.Action               // of the current event; reused to save allocations
	reply       reply                            // to the current batch
}

// Serve writes replies on w to the batches that it reads from r, until r ends between two batches. It writes each reply
// before it reads the next batch. Serve fails with a *LineError if the input is malformed or cannot be read, or if the
// reply to the batch that ended at that line cannot be written.
func Serve(r io.Reader, w io.Writer) error {
	s := &server{
		input:       bufio.NewScanner(r),
		output:      bufio.NewWriterSize(w, bufferBytes),
		controllers: map[string]*admission.Controller{},
	}
	s.input.Buffer(make([]byte, bufferBytes), maxLineBytes)
	for {
		head, ok := s.nextLine()
		if !ok {
			break
		}
		if err := s.serveBatch(head); err != nil {
			return &LineError{Line: s.line, Err: err}
		}
	}
	if err := s.input.Err(); err != nil {
		return &LineError{Line: s.line + 1, Err: err}
	}
	return nil
}

// nextLine returns the next line of the input, and whether there was one.
func (s *server) nextLine() (string, bool) {
	if !s.input.Scan() {
		return "", false
	}
	s.line++
	return s.input.Text(), true
}

// serveBatch handles a batch whose first line is given, and writes its reply.
func (s *server) serveBatch(head string) error {
	frame := splitLine(verbFrame, head)
	if err := frame.checkVerb(); err != nil {
		return err
	}
	if err := frame.checkPartCount(framePartCount); err != nil {
		return err
	}
	s.now = frame.seconds(1)
	batch := frame.integer(2)
	if frame.err != nil {
		return frame.err
	}
	s.reply.reset()
	if err := s.handleEvents(); err != nil {
		return err
	}
	s.reply.ok(batch)
	if _, err := s.output.Write(s.reply.text); err != nil {
		return err
	}
	return s.output.Flush()
}

// handleEvents handles the events of a batch up to its last line.
func (s *server) handleEvents() error {
	for {
		text, ok := s.nextLine()
		if !ok {
			return errors.New("input ends inside a batch")
		}
		if text == string(verbYourTurn) {
			return nil
		}
		if err := s.handleEvent(text); err != nil {
			return err
		}
	}
}

// handleEvent decodes one event, passes it to the controller of its limiter, and adds the actions to the reply. An
// event for a limiter that is not running has no effect.
func (s *server) handleEvent(text string) error {
	l, err := splitEvent(text)
	if err != nil {
		return err
	}
	switch l.verb {
	case verbPowerOn:
		return s.startLimiter(&l)
	case verbHalt:
		delete(s.controllers, l.limiter())
		return nil
	}
	event, err := s.decodeEvent(&l)
	if err != nil {
		return err
	}
	controller := s.controllers[l.limiter()]
	if controller == nil || event == nil {
		return nil
	}
	s.actions = controller.Handle(s.now, event, s.actions[:0])
	for _, action := range s.actions {
		s.reply.add(l.limiter(), action)
	}
	return nil
}

// startLimiter starts a limiter, with a new controller if it is running already: power_on, limiter, seed, settings.
func (s *server) startLimiter(l *line) error {
	decoded, err := settings.Decode([]byte(l.parts[3]))
	if err != nil {
		return fmt.Errorf("%s: settings: %w", l.verb, err)
	}
	seed := l.seed(2)
	if l.err != nil {
		return l.err
	}
	s.controllers[l.limiter()] = admission.New(decoded.Settings, seed)
	return nil
}
