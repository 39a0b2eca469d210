package processharness

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

const (
	// dialTimeout limits the time taken to connect to a limiter.
	dialTimeout = 2 * time.Second
	// openCheckTimeout is the read timeout of the check whether an idle connection is still open.
	openCheckTimeout = 50 * time.Microsecond
)

// clientConn is a client's connection to a limiter.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

func dialClient(addr string) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// write writes the text of one or more requests, and returns the time at which the last byte was written. It also sets
// the deadline for reading the responses: requestTimeout from the start of the write.
func (c *clientConn) write(text string) (at time.Time, err error) {
	c.setDeadline(time.Now().Add(requestTimeout))
	if _, err := io.WriteString(c, text); err != nil {
		return time.Now(), fmt.Errorf("write: %w", err)
	}
	return time.Now(), nil
}

// endSending closes the sending side of the connection.
func (c *clientConn) endSending() {
	_ = c.Conn.(*net.TCPConn).CloseWrite() // the next read fails if the connection is closed
}

// readResponse reads a response and its body.
func (c *clientConn) readResponse() (*http.Response, string, error) {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// isOpen reports whether an idle connection is open and has nothing to read.
func (c *clientConn) isOpen() bool {
	_ = c.SetReadDeadline(time.Now().Add(openCheckTimeout)) // the next read fails if the connection is closed
	_, err := c.reader.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// setDeadline sets the deadline of reads and writes.
func (c *clientConn) setDeadline(at time.Time) {
	_ = c.SetDeadline(at) // the next write fails if the connection is closed
}

func (c *clientConn) close() {
	_ = c.Close() // nothing is read or written after it
}
