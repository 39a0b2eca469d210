package discovery

import (
	"errors"
	"fmt"
	"io"
	"time"

	jsoniter "github.com/json-iterator/go"

	"lemongate/internal/core"
)

// A stream reads the messages of a watch one by one, on one line each or indented over several,
// and sees to it that what has fallen silent is given up.
//
// Between two messages any byte is a sign of life. A message that has begun comes whole soon: the
// agent is on this machine and has all of it. What it says counts as told from its first byte, so
// one that was cut off is found out before new sending has to end, whatever comes behind it.
type stream struct {
	body   io.Reader
	silent time.Duration // trusted between messages, and for a whole one
	alarm  *time.Timer   // gives the watch up

	values *jsoniter.Decoder
	inside bool      // a message has begun
	by     time.Time // it has to be whole
	left   int       // bytes that it may still have
	err    error     // of the last Read
}

var errTooLong = errors.New("message too long")

func newStream(body io.Reader, silent time.Duration, alarm *time.Timer) *stream {
	s := &stream{body: body, silent: silent, alarm: alarm, left: maxList}
	s.values = jsoniter.ConfigCompatibleWithStandardLibrary.NewDecoder(s)
	return s
}

// next waits for a message and reads it. One that was cut off or makes no sense is errUnread.
func (s *stream) next(origin time.Time) (*core.EndpointsUpdated, error) {
	s.inside, s.left = false, maxList
	s.alarm.Reset(s.silent)
	if !s.values.More() && s.err != nil {
		return nil, fmt.Errorf("watch: %w", s.err)
	}
	s.inside, s.by = true, time.Now().Add(s.silent)
	s.alarm.Reset(min(stalledAfter, s.silent))
	var m message
	if err := s.values.Decode(&m); err != nil {
		return nil, fmt.Errorf("%w: %w", errUnread, badJSON(err))
	}
	list, err := m.list(origin)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUnread, err)
	}
	return list, nil
}

// Read is for the decoder.
func (s *stream) Read(p []byte) (n int, err error) {
	if s.left == 0 {
		s.err = errTooLong
		return 0, s.err
	}
	n, s.err = s.body.Read(p[:min(len(p), s.left)])
	if n > 0 && s.inside {
		s.left -= n
		s.alarm.Reset(min(stalledAfter, time.Until(s.by)))
	} else if n > 0 {
		s.alarm.Reset(s.silent)
	}
	return n, s.err
}
