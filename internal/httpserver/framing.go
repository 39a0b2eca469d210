package httpserver

import (
	"bytes"
	"math"
	"strconv"
)

// This file finds the boundaries of requests in what a client sends.

const (
	// maxHeadFields is the maximum number of header fields of a request. net/http uses some hundred bytes for each.
	maxHeadFields = 100
	// unlimited is the passable length of a request whose end is not known.
	unlimited = math.MaxInt
)

// A headScanner finds the end of a head, which may arrive in pieces.
type headScanner struct {
	bytes     int // scanned so far
	lines     int // complete lines so far, the request line included
	lineBytes int // bytes of the line that is not complete
	lastByte  byte
}

// scan scans the next piece of a head. It returns the number of bytes that belong to the head, and whether the head is
// complete.
func (s *headScanner) scan(piece []byte) (n int, complete bool) {
	for n < len(piece) {
		line := piece[n:]
		end := bytes.IndexByte(line, '\n')
		if end < 0 {
			s.extendLine(line)
			return len(piece), false
		}
		s.extendLine(line[:end])
		n += end + 1
		if s.endLine() {
			return n, true
		}
	}
	return n, false
}

// extendLine records bytes of a line without its end.
func (s *headScanner) extendLine(part []byte) {
	s.bytes += len(part)
	s.lineBytes += len(part)
	if len(part) > 0 {
		s.lastByte = part[len(part)-1]
	}
}

// endLine records the end of a line, and reports whether the line is empty, which ends the head.
func (s *headScanner) endLine() (empty bool) {
	empty = s.lineBytes == 0 || s.lineBytes == 1 && s.lastByte == '\r'
	s.bytes++
	s.lines++
	s.lineBytes = 0
	return empty
}

// exceedsLimits reports whether the head is longer, or has more fields, than a request may have. The request line and the
// empty line are no fields.
func (s *headScanner) exceedsLimits() bool {
	return s.bytes > maxHeaderBytes || s.lines > maxHeadFields+2
}

// bodyLength returns the length of the body that follows a head. known is false if the head does not state it in the usual
// form, so that net/http might take another length for it.
func bodyLength(head []byte) (length int, known bool) {
	stated := false
	for line := range bytes.Lines(head) {
		if line[0] == ' ' || line[0] == '\t' { // continues the line before
			return 0, false
		}
		name, value, isField := bytes.Cut(line, []byte(":"))
		switch {
		case !isField:
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			return 0, false
		case bytes.EqualFold(name, []byte("Content-Length")):
			number, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 31)
			if err != nil || stated {
				return 0, false
			}
			length, stated = int(number), true
		}
	}
	return length, true
}

// An inputBuffer holds what was received from a client and not passed to net/http. It passes on a request's head only when
// it is complete, and nothing of the next request before net/http has read the one before. So net/http holds no part of a
// head, and the head is checked before net/http uses memory for it.
type inputBuffer struct {
	buffered []byte
	head     headScanner // of the request whose head is not complete
	scanned  int         // number of buffered bytes that head has scanned
	passable int         // bytes of the present request that were not passed on; unlimited if its end is not known
	tooLarge bool        // the head of the present request exceeds the limits, and is not passed on
}

// add buffers bytes that follow what is buffered.
func (in *inputBuffer) add(received []byte) { in.buffered = append(in.buffered, received...) }

// receive takes bytes that were received while nothing was buffered. It returns how many of them may be passed on at once,
// and buffers the others.
func (in *inputBuffer) receive(received []byte) (n int) {
	n = in.advance(received)
	in.countPassed(n)
	in.add(received[n:])
	return n
}

// take copies buffered bytes that may be passed on to p.
func (in *inputBuffer) take(p []byte) (n int) {
	n = copy(p, in.buffered[:in.advance(in.buffered)])
	in.countPassed(n)
	in.drop(n)
	return n
}

// takeByteAhead removes and returns the first buffered byte while a request is in progress.
func (in *inputBuffer) takeByteAhead() byte {
	first := in.buffered[0]
	if in.passable == 0 { // it is the first byte of the next request
		in.head.scan(in.buffered[:1])
	}
	in.countPassed(min(in.passable, 1))
	in.drop(1)
	return first
}

// advance returns how many of the bytes at the front of the input may be passed on. Between requests, it looks for the end
// of the next head.
func (in *inputBuffer) advance(front []byte) (n int) {
	if in.passable == 0 && !in.findRequest(front) {
		return 0
	}
	return min(in.passable, len(front))
}

// findRequest looks for the end of the next head, and reports whether the request may be passed on.
func (in *inputBuffer) findRequest(front []byte) bool {
	scanned, complete := in.head.scan(front[in.scanned:])
	in.scanned += scanned
	in.tooLarge = in.tooLarge || in.head.exceedsLimits()
	if !complete || in.tooLarge {
		return false
	}
	length, known := bodyLength(front[:in.scanned])
	in.passable = in.scanned + length
	if !known {
		in.passable = unlimited
	}
	in.head, in.scanned = headScanner{}, 0
	return true
}

// hasWholeRequest reports whether the next request is buffered completely.
func (in *inputBuffer) hasWholeRequest() bool {
	return in.advance(in.buffered) > 0 && in.passable <= len(in.buffered)
}

// endKnown reports whether the present request says where it ends.
func (in *inputBuffer) endKnown() bool { return in.passable != unlimited }

// countPassed records that n bytes of the present request were passed on.
func (in *inputBuffer) countPassed(n int) {
	if in.endKnown() {
		in.passable -= n
	}
}

// drop removes n bytes from the front of the buffer.
func (in *inputBuffer) drop(n int) {
	in.buffered = in.buffered[n:]
	if len(in.buffered) == 0 {
		in.buffered = nil // frees the memory
	}
}

// replace replaces the request whose head is not passed on with another one, whose end is not known.
func (in *inputBuffer) replace(request string) {
	*in = inputBuffer{buffered: []byte(request), passable: unlimited}
}
