// Package wire speaks the simulator's line protocol for lemongate gateways.
// It translates and decides nothing.
package wire

import (
	"bufio"
	"encoding/base64"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"lemongate/internal/admission"
)

// maxLine bounds a line of input; settings and long lists fit well inside.
const maxLine = 16 << 20

// server carries the gateways of one adapter process.
type server struct {
	in    *bufio.Scanner
	out   *bufio.Writer
	line  int
	now   time.Duration
	gates map[string]*admission.Controller
	acts  []admission.Action
	reply []byte
}

// Serve answers batches from r on w until r ends. An error names the line of
// input that could not be read and what is wrong with it.
func Serve(r io.Reader, w io.Writer) error {
	s := &server{
		in:    bufio.NewScanner(r),
		out:   bufio.NewWriterSize(w, 1<<16),
		gates: map[string]*admission.Controller{},
	}
	s.in.Buffer(make([]byte, 1<<16), maxLine)
	for {
		line, ok := s.next()
		if !ok {
			break
		}
		if err := s.batch(line); err != nil {
			return fmt.Errorf("line %d: %w", s.line, err)
		}
	}
	if err := s.in.Err(); err != nil {
		return fmt.Errorf("line %d: %w", s.line+1, err)
	}
	return nil
}

func (s *server) next() (string, bool) {
	if !s.in.Scan() {
		return "", false
	}
	s.line++
	return s.in.Text(), true
}

// batch handles one batch, whose first line is given.
func (s *server) batch(head string) error {
	f := fields{verb: "frame", parts: strings.Split(head, "\t")}
	if f.parts[0] != "frame" {
		return fmt.Errorf("want frame, got %q", clip(f.parts[0]))
	}
	f.count(3)
	s.now = f.clock(1)
	seq := f.integer(2)
	if f.err != nil {
		return f.err
	}
	s.reply = s.reply[:0]
	for {
		line, ok := s.next()
		if !ok {
			return fmt.Errorf("input ends inside a batch")
		}
		if line == "your_turn" {
			break
		}
		if err := s.event(line); err != nil {
			return err
		}
	}
	s.reply = append(s.reply, "ok\t"...)
	s.reply = strconv.AppendInt(s.reply, seq, 10)
	s.reply = append(s.reply, '\n')
	if _, err := s.out.Write(s.reply); err != nil {
		return err
	}
	return s.out.Flush()
}

// timerToken names the one timer that is ever asked for.
const timerToken = "beat"

// widths is how many parts a line of each verb has, its name included.
var widths = map[string]int{
	"power_on": 4, "membership": 5, "accept": 12, "fired": 3, "aborted": 3, "halt": 2,
	"answer": 11, "message": 4, "probed": 6, "reckoned": 6, "first": 6,
}

// event reads one event and lets its instance act on it.
func (s *server) event(line string) error {
	verb, _, _ := strings.Cut(line, "\t")
	want, known := widths[verb]
	if !known {
		return fmt.Errorf("unknown event %q", clip(verb))
	}
	f := fields{verb: verb, parts: strings.SplitN(line, "\t", want)}
	f.count(want)
	if f.err != nil {
		return f.err
	}
	door := f.parts[1]
	var ev admission.Event
	switch verb {
	case "power_on":
		seed := f.seed(2)
		settings, err := DecodeSettings([]byte(f.parts[3]))
		if err != nil {
			return fmt.Errorf("power_on: settings: %w", err)
		}
		if f.err == nil {
			s.gates[door] = admission.New(settings.Settings, seed)
		}
		return f.err
	case "halt":
		delete(s.gates, door)
		return nil
	case "membership":
		list := &admission.EndpointList{Kind: choice(&f, 3, listKinds)}
		f.integer(2)
		n := f.integer(4)
		for i := int64(0); i < n && f.err == nil; i++ {
			row, ok := s.next()
			if !ok {
				return fmt.Errorf("membership: input ends after %d of %d rows", i, n)
			}
			b, err := decodeRow(row)
			if err != nil {
				return err
			}
			list.Backends = append(list.Backends, b)
		}
		ev = list
	case "accept":
		ev = &admission.Request{
			ID: f.request(2), Budget: f.clock(3), FirstLimiter: int(f.integer(4)), SetSize: int(f.integer(6)),
			IsRetry: f.flag(7), Plan: f.parts[8], Units: f.number(9), Customer: f.parts[10], Class: f.parts[11],
		}
		f.flag(5)
	case "fired":
		if f.parts[2] != timerToken {
			return nil // never asked for
		}
		ev = admission.TimerFired{}
	case "aborted":
		ev = &admission.RequestEnded{Request: f.request(2)}
	case "answer":
		ev = &admission.AttemptFinished{
			Request: f.request(2), Attempt: int(f.integer(3)), Backend: f.parts[4], Result: choice(&f, 5, results),
			Latency: f.clock(6), Final: f.flag(7), Report: f.report(10),
		}
		f.number(8)
		f.number(9)
	case "message":
		ev = &admission.PeerMessage{From: int(f.integer(2)), Data: f.bytes(3)}
	case "probed":
		ev = &admission.ProbeResult{
			Backend: f.parts[2], Result: choice(&f, 3, results), Latency: f.clock(4), Report: f.report(5),
		}
	case "reckoned": // the counter service is not used, so its answers tell nothing
		f.number(2)
	case "first":
		ev = &admission.ResponseStarted{Request: f.request(2), Attempt: int(f.integer(5))}
		f.clock(3)
	}
	if f.err != nil {
		return f.err
	}
	gate := s.gates[door]
	if gate == nil || ev == nil {
		return nil // an instance that has halted is owed nothing
	}
	s.acts = gate.Handle(s.now, ev, s.acts[:0])
	for _, a := range s.acts {
		s.reply = appendAction(s.reply, door, a)
	}
	return nil
}

var listKinds = map[string]admission.ListKind{
	"D": admission.ListDelta, "F": admission.ListComplete,
	"C": admission.ListCached, "X": admission.ListFailed,
}

var results = map[string]admission.Result{
	"done": admission.Succeeded, "err": admission.Errored, "busy": admission.Rejected,
	"etimedout": admission.TimedOut, "econnrefused": admission.Unreachable,
	"econnreset": admission.ConnectionLost, "ecanceled": admission.Canceled, "skipped": admission.NotSent,
}

var states = map[string]admission.BackendState{
	"live": admission.Live, "quiescing": admission.Draining, "dead": admission.Removed,
}

// decodeRow reads an entry of the backend list.
func decodeRow(line string) (admission.Backend, error) {
	f := fields{verb: "row", parts: strings.Split(line, "\t")}
	if f.parts[0] != "row" {
		return admission.Backend{}, fmt.Errorf("membership: want row, got %q", clip(f.parts[0]))
	}
	f.count(8)
	if f.err != nil {
		return admission.Backend{}, f.err
	}
	b := admission.Backend{
		ID: f.parts[1], Zone: f.parts[2], Cell: int(f.integer(4)), State: choice(&f, 5, states),
		RelativeCapacity: f.number(6), StartedAt: f.clock(7),
	}
	return b, f.err
}

// fields reads the parts of a line and keeps the first error.
type fields struct {
	verb  string
	parts []string
	err   error
}

func (f *fields) count(want int) {
	if len(f.parts) != want {
		f.err = fmt.Errorf("%s: %d parts, want %d", f.verb, len(f.parts), want)
	}
}

func (f *fields) bad(i int, what string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: part %d: want %s, got %q", f.verb, i, what, clip(f.parts[i]))
	}
}

// at gives a part, or nothing where the line has too few or "-" stands there.
func (f *fields) at(i int) string {
	if f.err != nil || f.parts[i] == "-" {
		return ""
	}
	return f.parts[i]
}

func (f *fields) number(i int) float64 {
	text := f.at(i)
	if text == "" {
		return 0
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		f.bad(i, "a number")
	}
	return v
}

// clock reads seconds.
func (f *fields) clock(i int) time.Duration {
	v := f.number(i)
	if math.Abs(v) > 1e9 {
		f.bad(i, "a time in seconds")
		return 0
	}
	return seconds(v)
}

func (f *fields) integer(i int) int64 {
	text := f.at(i)
	if text == "" {
		return 0
	}
	v, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		f.bad(i, "a whole number")
	}
	return v
}

func (f *fields) request(i int) admission.RequestID {
	v, err := strconv.ParseUint(f.at(i), 10, 32)
	if err != nil {
		f.bad(i, "a request id")
	}
	return admission.RequestID(v)
}

// seed reads any integer of 64 bits, with or without a sign.
func (f *fields) seed(i int) uint64 {
	text := f.at(i)
	if v, err := strconv.ParseInt(text, 10, 64); err == nil {
		return uint64(v)
	}
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		f.bad(i, "a whole number")
	}
	return v
}

func (f *fields) flag(i int) bool {
	switch f.at(i) {
	case "", "0":
		return false
	case "1":
		return true
	}
	f.bad(i, "0 or 1")
	return false
}

func (f *fields) bytes(i int) []byte {
	data, err := base64.StdEncoding.DecodeString(f.at(i))
	if err != nil {
		f.bad(i, "base64")
	}
	return data
}

func (f *fields) report(i int) []float64 {
	text := f.at(i)
	if text == "" {
		return nil
	}
	var report []float64
	for part := range strings.SplitSeq(text, ",") {
		v, err := strconv.ParseFloat(part, 64)
		if part != "-" && (err != nil || math.IsNaN(v) || math.IsInf(v, 0)) {
			f.bad(i, "numbers set apart by commas")
			return nil
		}
		report = append(report, v)
	}
	return report
}

// choice reads a word of a fixed set.
func choice[T any](f *fields, i int, words map[string]T) T {
	v, ok := words[f.at(i)]
	if !ok {
		f.bad(i, "a known word")
	}
	return v
}

// clip keeps messages to one plain line.
func clip(text string) string {
	if len(text) > 40 {
		return text[:40] + "..."
	}
	return text
}

func seconds(v float64) time.Duration { return time.Duration(math.Round(v * float64(time.Second))) }

// appendAction writes an action as a line.
func appendAction(out []byte, door string, action admission.Action) []byte {
	start := func(verb string) { out = append(append(append(out, verb...), '\t'), door...) }
	text := func(v string) { out = append(append(out, '\t'), v...) }
	whole := func(v int64) { out = strconv.AppendInt(append(out, '\t'), v, 10) }
	clock := func(v time.Duration) { out = strconv.AppendFloat(append(out, '\t'), v.Seconds(), 'f', 6, 64) }
	switch a := action.(type) {
	case admission.StartAttempt:
		start("attempt")
		whole(int64(a.Request))
		text(a.Backend)
		clock(a.Deadline)
	case admission.Reject:
		start("deny")
		whole(int64(a.Request))
		clock(a.RetryAfter)
	case admission.Fail:
		start("drop_request")
		whole(int64(a.Request))
	case admission.CancelAttempt:
		start("stop_attempt")
		whole(int64(a.Request))
		whole(int64(a.Attempt))
	case admission.SetTimer:
		start("defer")
		clock(a.At)
		text(timerToken)
	case admission.SendToPeer:
		start("say")
		whole(int64(a.Peer))
		text(base64.StdEncoding.EncodeToString(a.Data))
	case admission.ProbeBackend:
		start("inspect")
		text(a.Backend)
	case admission.PollEndpoints:
		start("listen")
		text("1")
	case admission.Log:
		start("remark")
		text(strings.NewReplacer("\t", " ", "\n", " ").Replace(a.Text))
	}
	return append(out, '\n')
}
