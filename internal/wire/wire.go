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

	"lemongate"
)

// maxLine bounds a line of input; settings and long lists fit well inside.
const maxLine = 16 << 20

// server carries the gateways of one adapter process.
type server struct {
	in    *bufio.Scanner
	out   *bufio.Writer
	line  int
	now   time.Duration
	gates map[string]*lemongate.Gateway
	acts  []lemongate.Action
	reply []byte
}

// Serve answers batches from r on w until r ends. An error names the line of
// input that could not be read and what is wrong with it.
func Serve(r io.Reader, w io.Writer) error {
	s := &server{
		in:    bufio.NewScanner(r),
		out:   bufio.NewWriterSize(w, 1<<16),
		gates: map[string]*lemongate.Gateway{},
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
	var ev lemongate.Event
	switch verb {
	case "power_on":
		seed := f.seed(2)
		settings, err := DecodeSettings([]byte(f.parts[3]))
		if err != nil {
			return fmt.Errorf("power_on: settings: %w", err)
		}
		if f.err == nil {
			s.gates[door] = lemongate.New(settings.Settings, seed)
		}
		return f.err
	case "halt":
		delete(s.gates, door)
		return nil
	case "membership":
		list := &lemongate.List{Kind: choice(&f, 3, listKinds)}
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
		ev = &lemongate.Request{
			ID: f.request(2), Budget: f.clock(3), First: int(f.integer(4)), Spread: int(f.integer(6)),
			Retry: f.flag(7), Plan: f.parts[8], Units: f.number(9), Customer: f.parts[10], Class: f.parts[11],
		}
		f.flag(5)
	case "fired":
		ev = &lemongate.Timer{Token: f.parts[2]}
	case "aborted":
		ev = &lemongate.Gone{Request: f.request(2)}
	case "answer":
		ev = &lemongate.Outcome{
			Request: f.request(2), Attempt: int(f.integer(3)), Backend: f.parts[4], Result: choice(&f, 5, results),
			Latency: f.clock(6), Final: f.flag(7), Report: f.report(10),
		}
		f.number(8)
		f.number(9)
	case "message":
		ev = &lemongate.PeerMessage{From: int(f.integer(2)), Data: f.bytes(3)}
	case "probed":
		ev = &lemongate.ProbeResult{
			Backend: f.parts[2], Result: choice(&f, 3, results), Latency: f.clock(4), Report: f.report(5),
		}
	case "reckoned": // the counter service is not used, so its answers tell nothing
		f.number(2)
	case "first":
		ev = &lemongate.Started{Request: f.request(2), Attempt: int(f.integer(5))}
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

var listKinds = map[string]lemongate.ListKind{
	"D": lemongate.ListChanges, "F": lemongate.ListFull,
	"C": lemongate.ListCached, "X": lemongate.ListFailed,
}

var results = map[string]lemongate.Result{
	"done": lemongate.Done, "err": lemongate.Errored, "busy": lemongate.TurnedAway,
	"etimedout": lemongate.TimedOut, "econnrefused": lemongate.Unreachable,
	"econnreset": lemongate.Broken, "ecanceled": lemongate.Canceled, "skipped": lemongate.NotSent,
}

var states = map[string]lemongate.BackendState{
	"live": lemongate.Live, "quiescing": lemongate.Draining, "dead": lemongate.Dead,
}

// decodeRow reads an entry of the backend list.
func decodeRow(line string) (lemongate.Backend, error) {
	f := fields{verb: "row", parts: strings.Split(line, "\t")}
	if f.parts[0] != "row" {
		return lemongate.Backend{}, fmt.Errorf("membership: want row, got %q", clip(f.parts[0]))
	}
	f.count(8)
	if f.err != nil {
		return lemongate.Backend{}, f.err
	}
	b := lemongate.Backend{
		ID: f.parts[1], Zone: f.parts[2], Cell: int(f.integer(4)), State: choice(&f, 5, states),
		Size: f.number(6), Started: f.clock(7),
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

func (f *fields) request(i int) lemongate.RequestID {
	v, err := strconv.ParseUint(f.at(i), 10, 32)
	if err != nil {
		f.bad(i, "a request id")
	}
	return lemongate.RequestID(v)
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
func appendAction(out []byte, door string, action lemongate.Action) []byte {
	start := func(verb string) { out = append(append(append(out, verb...), '\t'), door...) }
	text := func(v string) { out = append(append(out, '\t'), v...) }
	whole := func(v int64) { out = strconv.AppendInt(append(out, '\t'), v, 10) }
	clock := func(v time.Duration) { out = strconv.AppendFloat(append(out, '\t'), v.Seconds(), 'f', 6, 64) }
	switch a := action.(type) {
	case lemongate.Send:
		start("attempt")
		whole(int64(a.Request))
		text(a.Backend)
		clock(a.GiveUp)
	case lemongate.Refuse:
		start("deny")
		whole(int64(a.Request))
		clock(a.After)
	case lemongate.Fail:
		start("drop_request")
		whole(int64(a.Request))
	case lemongate.Cancel:
		start("stop_attempt")
		whole(int64(a.Request))
		whole(int64(a.Attempt))
	case lemongate.Wake:
		start("defer")
		clock(a.At)
		text(a.Token)
	case lemongate.Tell:
		start("say")
		whole(int64(a.Peer))
		text(base64.StdEncoding.EncodeToString(a.Data))
	case lemongate.Probe:
		start("inspect")
		text(a.Backend)
	case lemongate.Watch:
		start("listen")
		text("1")
	case lemongate.Log:
		start("remark")
		text(strings.NewReplacer("\t", " ", "\n", " ").Replace(a.Text))
	}
	return append(out, '\n')
}
