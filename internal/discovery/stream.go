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
	// maxMessageBytes bounds a message; it is far more than any list has.
	maxMessageBytes = 4 << 20
	// stallTimeout is after how long without a byte a message that has begun counts as cut off.
	stallTimeout = 100 * time.Millisecond
)

var errMessageTooLong = errors.New("message too long")

// A stream reads the messages of a watch one by one, each on one line or indented over several, and sets
// the timer that ends a watch which has fallen silent.
//
// Between two messages any byte shows that discovery is there. A message that has begun is complete soon:
// discovery is on this machine and has all of it. The change in it counts as known already, see the package
// comment, so a message that was cut off has to be detected within the drain grace, whatever follows it.
type stream struct {
	body    io.Reader
	timeout time.Duration // between messages without a byte, and of a message from its first byte to its last
	silence *time.Timer   // ends the watch

	decoder   *jsoniter.Decoder
	inMessage bool      // a message has begun
	deadline  time.Time // by which the message has to be complete
	remaining int       // bytes that the message may still have
	err       error     // of the last Read
}

func newStream(body io.Reader, timeout time.Duration, silence *time.Timer) *stream {
	s := &stream{body: body, timeout: timeout, silence: silence, remaining: maxMessageBytes}
	s.decoder = jsoniter.ConfigCompatibleWithStandardLibrary.NewDecoder(s)
	return s
}

// next waits for a message and decodes it. The error is errInvalidMessage for one that was cut off or is
// invalid.
func (s *stream) next(origin time.Time) (*core.EndpointsUpdated, error) {
	s.inMessage, s.remaining = false, maxMessageBytes
	s.silence.Reset(s.timeout)
	if !s.decoder.More() && s.err != nil {
		return nil, fmt.Errorf("watch: %w", s.err)
	}
	s.inMessage, s.deadline = true, time.Now().Add(s.timeout)
	s.silence.Reset(min(stallTimeout, s.timeout))
	var m message
	if err := s.decoder.Decode(&m); err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalidMessage, jsonError(err))
	}
	list, err := m.endpoints(origin)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalidMessage, err)
	}
	return list, nil
}

// Read implements io.Reader for the decoder, and resets the timer with each read.
func (s *stream) Read(p []byte) (n int, err error) {
	if s.remaining == 0 {
		s.err = errMessageTooLong
		return 0, s.err
	}
	n, s.err = s.body.Read(p[:min(len(p), s.remaining)])
	switch {
	case n > 0 && s.inMessage:
		s.remaining -= n
		s.silence.Reset(min(stallTimeout, time.Until(s.deadline)))
	case n > 0:
		s.silence.Reset(s.timeout)
	}
	return n, s.err
}
