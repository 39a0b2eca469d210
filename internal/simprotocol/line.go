package simprotocol

import (
	"encoding/base64"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"lemongate/internal/admission"
	"lemongate/internal/settings"
)

const (
	separator = "\t"
	absent    = "-" // a part without a value
	// maxSeconds bounds the absolute value of times; a time.Duration can hold more.
	maxSeconds = 1e9
)

// Indexes of parts that are the same on all lines of events that have these parts.
const (
	limiterIndex = 1
	requestIndex = 2
)

// partError reports which part of a line is malformed.
type partError struct {
	verb  verb
	index int    // of the part; the verb has index 0
	want  string // describes a valid part
	got   string
}

func (e *partError) Error() string {
	return fmt.Sprintf("%s: part %d: want %s, got %q", e.verb, e.index, e.want, settings.Excerpt(e.got))
}

// line decodes the parts of a line of input by their index. A part that is absent decodes to zero, if its type allows
// that. The first error is kept in err; after it, all parts count as absent.
type line struct {
	verb  verb
	parts []string // including the verb
	err   error
}

// splitEvent splits the line of an event. The last part may contain tabs.
func splitEvent(text string) (line, error) {
	name, _, _ := strings.Cut(text, separator)
	count, known := eventPartCounts[verb(name)]
	if !known {
		return line{}, fmt.Errorf("unknown event %q", settings.Excerpt(name))
	}
	l := line{verb: verb(name), parts: strings.SplitN(text, separator, count)}
	return l, l.checkPartCount(count)
}

// splitLine splits a line that should have a given verb; checkVerb reports whether it has.
func splitLine(want verb, text string) line {
	return line{verb: want, parts: strings.Split(text, separator)}
}

func (l *line) checkVerb() error {
	if got := l.parts[0]; got != string(l.verb) {
		return fmt.Errorf("want %s, got %q", l.verb, settings.Excerpt(got))
	}
	return nil
}

func (l *line) checkPartCount(want int) error {
	if len(l.parts) != want {
		return fmt.Errorf("%s: %d parts, want %d", l.verb, len(l.parts), want)
	}
	return nil
}

// limiter returns the name of the limiter that an event is for.
func (l *line) limiter() string { return l.parts[limiterIndex] }

// fail records that the part at an index is invalid, unless there was an error before. want describes a valid part.
func (l *line) fail(index int, want string) {
	if l.err == nil {
		l.err = &partError{verb: l.verb, index: index, want: want, got: l.parts[index]}
	}
}

// value returns a part, or an empty text if it is absent.
func (l *line) value(index int) string {
	if l.err != nil || l.parts[index] == absent {
		return ""
	}
	return l.parts[index]
}

// number decodes a finite number.
func (l *line) number(index int) float64 {
	text := l.value(index)
	if text == "" {
		return 0
	}
	number, ok := parseNumber(text)
	if !ok {
		l.fail(index, "a number")
	}
	return number
}

// parseNumber parses a number, and reports whether the text is a finite number.
func parseNumber(text string) (float64, bool) {
	number, err := strconv.ParseFloat(text, 64)
	finite := !math.IsNaN(number) && !math.IsInf(number, 0)
	return number, err == nil && finite
}

// seconds decodes a time.
func (l *line) seconds(index int) time.Duration {
	number := l.number(index)
	if math.Abs(number) > maxSeconds {
		l.fail(index, "a time in seconds")
		return 0
	}
	return settings.Duration(number)
}

// integer decodes a signed 64-bit integer.
func (l *line) integer(index int) int64 {
	text := l.value(index)
	if text == "" {
		return 0
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		l.fail(index, "a whole number")
	}
	return number
}

// request decodes the ID of the request that an event is about, which is below 2^32 and never absent.
func (l *line) request() admission.RequestID {
	id, err := strconv.ParseUint(l.value(requestIndex), 10, 32)
	if err != nil {
		l.fail(requestIndex, "a request id")
	}
	return admission.RequestID(id)
}

// seed decodes a signed or unsigned 64-bit integer, which is never absent.
func (l *line) seed(index int) uint64 {
	text := l.value(index)
	if signed, err := strconv.ParseInt(text, 10, 64); err == nil {
		return uint64(signed)
	}
	seed, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		l.fail(index, "a whole number")
	}
	return seed
}

// flag decodes 0 or 1.
func (l *line) flag(index int) bool {
	switch l.value(index) {
	case "", "0":
		return false
	case "1":
		return true
	}
	l.fail(index, "0 or 1")
	return false
}

// bytes decodes base64 with padding.
func (l *line) bytes(index int) []byte {
	data, err := base64.StdEncoding.DecodeString(l.value(index))
	if err != nil {
		l.fail(index, "base64")
	}
	return data
}

// loadReport decodes numbers separated by commas, 0 for those that are absent; nil if there is no report.
func (l *line) loadReport(index int) []float64 {
	text := l.value(index)
	if text == "" {
		return nil
	}
	var report []float64
	for part := range strings.SplitSeq(text, ",") {
		number, ok := parseNumber(part)
		if !ok && part != absent {
			l.fail(index, "numbers separated by commas")
			return nil
		}
		report = append(report, number)
	}
	return report
}

// choice decodes a name, which is never absent, to its value in values.
func choice[T any](l *line, index int, values map[string]T) T {
	value, known := values[l.value(index)]
	if !known {
		l.fail(index, "a known word")
	}
	return value
}
