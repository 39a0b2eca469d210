package httpserver

import (
	"testing"
	"time"

	"lemongate/internal/core"
	"lemongate/internal/upstream"
)

// A local reply says whether the request may have run, and when to retry.
func TestLocalReplies(t *testing.T) {
	server := startServer(t)
	client := server.connect(t)
	for _, c := range []struct {
		reply      core.Respond
		status     int
		retryAfter string
	}{
		{core.Respond{Kind: core.Rejected, RetryAfter: 250 * time.Millisecond}, 429, "0.250"},
		{core.Respond{Kind: core.Rejected}, 429, ""},
		{core.Respond{Kind: core.Rejected, Response: (*upstream.Response)(nil)}, 429, ""}, // as another process sends it
		{core.Respond{Kind: core.Failed, RetryAfter: time.Second}, 502, ""},
	} {
		client.send(validRequest)
		c.reply.Request = (<-server.events).(*core.RequestReceived).ID
		server.Respond(c.reply)
		if resp, _ := client.response(); resp.StatusCode != c.status || resp.Header.Get("Retry-After") != c.retryAfter {
			t.Errorf("%+v: got status %d, Retry-After %q", c.reply, resp.StatusCode, resp.Header.Get("Retry-After"))
		}
	}
}

// A client's disconnect is posted, and its request is removed from pendingResponses once Respond is called.
func TestClientDisconnects(t *testing.T) {
	server := startServer(t)
	client := server.connect(t)
	client.send(validRequest)
	id := (<-server.events).(*core.RequestReceived).ID
	client.close()
	if ev, ok := (<-server.events).(*core.ClientDisconnected); !ok || ev.Request != id {
		t.Errorf("posted %+v, want the disconnect of the client", ev)
	}
	server.Respond(core.Respond{Request: id})
	if n := len(server.pendingResponses); n != 0 {
		t.Errorf("%d requests still have a pending response, want 0", n)
	}
}

// GET /ready is answered with the state that SetReady has set.
func TestReady(t *testing.T) {
	server := startServer(t)
	client := server.connect(t)
	for _, want := range []int{503, 200, 503} {
		server.SetReady(want == 200)
		client.send("GET /ready HTTP/1.1\nHost: x\n\n")
		if resp, _ := client.response(); resp.StatusCode != want {
			t.Errorf("status %d, want %d", resp.StatusCode, want)
		}
	}
}
