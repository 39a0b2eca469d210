package main

import (
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"time"
)

func init() { cases["10"] = case10 }

// case10: servers whose answers have no length and come whole.
func case10(r *rig) {
	var mu sync.Mutex
	whole := map[string]bool{} // by request: answered whole
	handle := func(a arrival, c net.Conn) bool {
		settle(20 * time.Millisecond)
		body := []byte("served " + a.id)
		if !r.trouble {
			answer(c, body)
		} else {
			_, _ = c.Write(append([]byte("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n"), body...))
		}
		mu.Lock()
		whole[a.id] = true
		mu.Unlock()
		r.note("server: %s ran and was answered whole", a.id)
		return !r.trouble // the end of the connection ends the answer
	}
	d := r.discover(r.serve("s-1", handle), r.serve("s-2", handle), r.serve("s-3", handle))
	listen := r.freeAddr("tcp")
	r.start("limiter", filepath.Join(r.temp, "tmp"), config(0, 1, listen, d, free))
	r.await("the limiter is ready", func() bool { return ok(listen, "/ready") })
	ran, forwarded := 0, 0
	for i := range 60 {
		class := []string{"read", "post", "book"}[i%3]
		id := newID()
		c, err := dial(listen)
		r.check(err, "client")
		r.check(c.send(call{id, class, "free", ordinary, time.Second, ""}), "client")
		status, body, err := c.receive(2 * time.Second)
		_ = c.Close()
		mu.Lock()
		if whole[id] {
			ran++
			if status == http.StatusOK && string(body) == "served "+id {
				forwarded++
			}
		}
		mu.Unlock()
		r.note("client: %s, %s: answer %d %q %v", id, class, status, body, err)
		settle(50 * time.Millisecond)
	}
	r.verdict(2*forwarded < ran, "%d requests were answered whole by a server, %d of these answers were forwarded", ran, forwarded)
}
