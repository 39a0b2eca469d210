package discovery

import (
	"errors"
	"fmt"
	"io"
	"time"

	jsoniter "github.com/json-iterator/go"

	"lemongate/internal/core"
)

const (
	// maxMessageBytes bounds a message; it is far larger than any list.
	maxMessageBytes = 4 << 20
	// stallTimeout is the time without a byte after which a message that has begun counts as cut off.
	stallTimeout = 100 * time.Millisecond
)

var errMessageTooLong = errors.New("message too long")

// A stream reads the messages of a watch. A message may stand on one line or be indented over several. The stream
// also sets the timer that ends a watch on which nothing is received.
//
// Between two messages, any byte shows that discovery is alive. Once a message has begun, the rest of it follows soon,
// because discovery runs on this machine and already has the whole message. The change in that message already counts
// as known (see the package comment), so a message that was cut off must be detected within the drain grace, whatever
// data follows it.
type stream struct {
	body         io.Reader
	timeout      time.Duration // between messages, time without a byte; within a message, time from first to last byte
	silenceTimer *time.Timer   // ends the watch

	decoder   *jsoniter.Decoder
	inMessage bool      // a message has begun
	deadline  time.Time // by which the current message must be complete
	remaining int       // number of bytes that the current message may still have
	err       error     // of the last Read
}

func newStream(body io.Reader, timeout time.Duration, silenceTimer *time.Timer) *stream {
	s := &stream{body: body, timeout: timeout, silenceTimer: silenceTimer, remaining: maxMessageBytes}
	s.decoder = jsoniter.ConfigCompatibleWithStandardLibrary.NewDecoder(s)
	return s
}

// next waits for a message and decodes it. The error wraps errInvalidMessage if the message was cut off or is
// invalid.
func (s *stream) next(starts *startTimes) (*core.EndpointsUpdated, error) {
	s.inMessage, s.remaining = false, maxMessageBytes
	s.silenceTimer.Reset(s.timeout)
	// More also returns false before "]" and "}", which Decode rejects.
	if !s.decoder.More() && s.err != nil {
		return nil, fmt.Errorf("watch: %w", s.err)
	}
	s.inMessage, s.deadline = true, time.Now().Add(s.timeout)
	s.silenceTimer.Reset(min(stallTimeout, s.timeout))
	var m message
	if err := s.decoder.Decode(&m); err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalidMessage, jsonError(err))
	}
	list, err := m.endpoints(starts.convert)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalidMessage, err)
	}
	if m.Complete {
		starts.retain(m.ids())
	}
	return list, nil
}

// Read implements io.Reader for the decoder. It resets the timer after each read that returns data.
func (s *stream) Read(p []byte) (n int, err error) {
	if s.remaining == 0 {
		s.err = errMessageTooLong
		return 0, s.err
	}
	n, s.err = s.body.Read(p[:min(len(p), s.remaining)])
	switch {
	case n > 0 && s.inMessage:
		s.remaining -= n
		s.silenceTimer.Reset(min(stallTimeout, time.Until(s.deadline)))
	case n > 0:
		s.silenceTimer.Reset(s.timeout)
	}
	return n, s.err
}
