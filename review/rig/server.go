package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// A Server is a stand-in for a server. It serves one request at a time on each connection.
type Server struct {
	Name string
	Addr string
	// Answer writes the answer to a request, and reports whether the connection stays open.
	Answer func(c *Conn, r *Request) (open bool)
	// Began is called for each request when its last byte has come.
	Began func(r *Request)
}

// A Request is what a server received.
type Request struct {
	Server   string
	Class    string
	Customer string
	CallID   string
	At       time.Time // when its last byte had come
}

// A Conn is a connection of a server.
type Conn struct {
	net.Conn
	mu       sync.Mutex
	requests int // whose first byte has come
}

// Requests returns the number of requests whose first byte has come.
func (c *Conn) Requests() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests
}

// Write200 writes an answer that states its length.
func (c *Conn) Write200(body string) bool {
	_, err := io.WriteString(c, Answer200(body))
	return err == nil
}

// Answer200 returns an answer that states its length.
func Answer200(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// Listen starts the server.
func (s *Server) Listen() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.Addr = listener.Addr().String()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(&Conn{Conn: c})
		}
	}()
	return nil
}

func (s *Server) serve(c *Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		c.mu.Lock()
		c.requests++
		c.mu.Unlock()
		head, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, head.Body); err != nil {
			return
		}
		class, customer, _ := strings.Cut(strings.TrimPrefix(head.URL.Path, "/"), "/")
		r := &Request{
			Server: s.Name, Class: class, Customer: customer, CallID: head.Header.Get("X-Call-Id"), At: time.Now(),
		}
		if s.Began != nil {
			s.Began(r)
		}
		if !s.Answer(c, r) {
			return
		}
	}
}
