package rig

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The request classes of the cases, as WIRE's example has them, and one that must not run twice.
var (
	ReadLatest = map[string]any{
		"name": "read-latest", "effect": "idempotent", "group": "all", "on_time_s": 0.75, "deadline_s": 2.0, "window_s": 5.0,
		"importance": 2.0, "late_worth": 0.0, "stream": false,
	}
	PostBatch = map[string]any{
		"name": "post-batch", "effect": "deduplicated", "group": "all", "on_time_s": 1.2, "deadline_s": 5.0, "window_s": 3.0,
		"importance": 3.0, "late_worth": 0.2, "stream": false,
	}
	Book = map[string]any{
		"name": "book", "effect": "at_most_once", "group": "all", "on_time_s": 1.0, "deadline_s": 4.0, "window_s": 0.0,
		"importance": 6.0, "late_worth": 0.0, "stream": false,
	}
)

// NewID returns a fresh X-Call-Id or Idempotency-Key.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Get returns the text of a request of a class that is safe to repeat.
func Get(class, id string, customer int, budget time.Duration) string {
	return fmt.Sprintf("GET /%s/%016x HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: %s\r\nPlan: provincial\r\nX-Budget: %dm\r\n"+
		"Quota-Info: units=1,spread=1,first=0\r\n\r\n", class, customer, id, budget.Milliseconds())
}

// Post returns the text of a request with a body; key is empty for a class that has none.
func Post(class, id, key string, customer int, budget time.Duration, body string) string {
	if key != "" {
		key = "Idempotency-Key: " + key + "\r\n"
	}
	return fmt.Sprintf("POST /%s/%016x HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: %s\r\nPlan: provincial\r\nX-Budget: %dm\r\n%s"+
		"Content-Length: %d\r\nQuota-Info: units=1,spread=1,first=0\r\n\r\n%s",
		class, customer, id, budget.Milliseconds(), key, len(body), body)
}

// A Client has one connection, which it keeps, and sends one request at a time.
type Client struct {
	Addr   string
	conn   net.Conn
	reader *bufio.Reader
}

// Do sends a request and returns the answer to it. If a kept connection ends before a byte of the answer, the client
// sends the request once more on a new one.
func (c *Client) Do(request string, wait time.Duration) (status int, body string, err error) {
	kept := c.conn != nil
	status, body, err = c.Once(request, wait)
	if err != nil && kept && status == 0 {
		status, body, err = c.Once(request, wait)
	}
	return status, body, err
}

// Once sends a request and returns the answer to it. It does not send it again.
func (c *Client) Once(request string, wait time.Duration) (status int, body string, err error) {
	if c.conn == nil {
		if c.conn, err = net.Dial("tcp", c.Addr); err != nil {
			c.conn = nil
			return 0, "", err
		}
		c.reader = bufio.NewReader(c.conn)
	}
	defer func() {
		if err != nil {
			c.Close()
		}
	}()
	_ = c.conn.SetDeadline(time.Now().Add(wait))
	if _, err = io.WriteString(c.conn, request); err != nil {
		return 0, "", err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", err
	}
	data, err := io.ReadAll(response.Body)
	if err == nil && strings.EqualFold(response.Header.Get("Connection"), "close") {
		c.Close()
	}
	return response.StatusCode, string(data), err
}

// Close closes the connection.
func (c *Client) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// A Pool keeps clients' connections: a request takes one that is free, or a new one.
type Pool struct {
	Addr string
	mu   sync.Mutex
	free []*Client
}

// Take returns a client whose connection is free.
func (p *Pool) Take() *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.free) == 0 {
		return &Client{Addr: p.Addr}
	}
	c := p.free[len(p.free)-1]
	p.free = p.free[:len(p.free)-1]
	return c
}

// Give returns a client to the pool.
func (p *Pool) Give(c *Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.free = append(p.free, c)
}

// Close closes all free connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.free {
		c.Close()
	}
	p.free = nil
}
