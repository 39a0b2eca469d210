package httpserver

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"lemongate/internal/admission"
	"lemongate/internal/core"
	"lemongate/internal/upstream"
)

// A request is posted as an event with all values that an attempt forwards to the backend.
func TestRequestReceived(t *testing.T) {
	server := startServer(t)
	client := server.connect(t)
	client.send(validRequest)
	ev := (<-server.events).(*core.RequestReceived)
	want := admission.Request{
		ID: ev.ID, Class: "post", Plan: "team", Customer: "00000000b4d65521", Units: 2,
		Budget: 480 * time.Millisecond, FirstLimiter: 1, SetSize: 3, IsRetry: true,
	}
	if ev.Request != want || ev.ReceivedAt != 42 {
		t.Errorf("posted %+v, want the request of the client, received at 42", ev)
	}
	in := *ev.Content.(*upstream.Request)
	if string(in.Body) != "12345" {
		t.Errorf("body %q, want \"12345\"", in.Body)
	}
	in.Body, in.ClientWaits = nil, nil
	if got, want := fmt.Sprint(in), fmt.Sprint(upstream.Request{
		Method: "POST", URI: "/post/x/00000000b4d65521?q=%41", Host: "backend.local",
		CallID: "9b1f03aa5c7e2d41", IdempotencyKey: "5c0f", ContentType: "text/x",
	}); got != want {
		t.Errorf("content %s, want the values that the client sent", got)
	}
	server.Respond(core.Respond{Request: ev.ID, Kind: core.Served, Response: &upstream.Response{Body: []byte("yes")}})
	server.Respond(core.Respond{Request: ev.ID, Kind: core.Failed}) // a second response is dropped
	if resp, body := client.response(); resp.StatusCode != 200 || body != "yes" || resp.Header["Content-Type"] != nil {
		t.Errorf("response %v, body %q, want status 200 without a Content-Type and \"yes\"", resp, body)
	}
	client.send(validRequest) // the connection stays open, and the next request has a different number
	if again := (<-server.events).(*core.RequestReceived); again.ID == ev.ID {
		t.Error("two requests have the same number, want different ones")
	}
}

// Classes and plans are identified by their complete names, whatever characters these have: a name is never taken for a
// similar one.
func TestUnusualNames(t *testing.T) {
	names := []string{"read", "Read", "read-2", "read 2", "ünter", "a%20b", "q?", "x.y~z"}
	server := startServer(t, func(o *Options) {
		o.Settings.Classes, o.Settings.Plans = nil, nil
		for i, n := range names {
			o.Settings.Classes = append(o.Settings.Classes, admission.Class{Name: n, Idempotency: admission.IdempotentByKey, Deadline: time.Duration(i+1) * time.Second})
			o.Settings.Plans = append(o.Settings.Plans, admission.Plan{Name: n})
		}
	})
	client := server.connect(t)
	for i, n := range names {
		client.send(strings.NewReplacer("/post/", "/"+url.PathEscape(n)+"/", "team", names[len(names)-1-i], "480m", fmt.Sprintf("%dm", (i+1)*1000)).Replace(validRequest))
		ev, ok := (<-server.events).(*core.RequestReceived)
		if !ok || ev.Class != n || ev.Plan != names[len(names)-1-i] {
			t.Fatalf("class %q: posted %+v, want a request of this class and its plan", n, ev)
		}
		server.reject(ev.ID)
		client.response()
	}
	for _, n := range []string{"READ", "rea", "read-", "read%", "", "read-22"} {
		client.send(strings.Replace(validRequest, "team", n, 1))
		if resp, _ := client.response(); resp.StatusCode/100 != 4 {
			t.Errorf("plan %q: status %d, want 4xx", n, resp.StatusCode)
		}
		if ev, ok := (<-server.events).(core.RequestMalformed); !ok {
			t.Errorf("plan %q: posted %+v, want RequestMalformed", n, ev)
		}
		client = server.connect(t)
	}
}

// A malformed request is answered with 4xx immediately, but not as a reject. It is counted, and never posted as a
// request.
func TestMalformed(t *testing.T) {
	server := startServer(t)
	for _, c := range []struct {
		old, new string
		status   int
	}{
		{"X-Call-Id: 9b1f03aa5c7e2d41\n", "", 400},
		{"Plan: team", "Plan: gold", 400},
		{"Plan: team\n", "", 400},
		{"/post/", "/put/", 404},
		{"/post/x/00000000b4d65521", "/", 404},
		{"/post/x/00000000b4d65521", "/post", 404},
		{"00000000b4d65521", "b4d65521", 404},
		{"00000000b4d65521", "00000002b4d65521", 404}, // 2^33 or above
		{"00000000b4d65521", "0000000xb4d65521", 404},
		{"480m", "480", 400}, {"480m", "480s", 400}, {"480m", "0m", 400}, {"480m", "-1m", 400}, {"480m", "0x1p8m", 400},
		{"480m", "NaNm", 400}, {"480m", "1e300m", 400}, {"480m", "Infm", 400}, {"480m", "m", 400}, {"X-Budget: 480m\n", "", 400},
		{"480m", "50051m", 400}, {"480m", "0.0001u", 400},
		{"units=2", "units=0", 400}, {"units=2", "units=-1", 400}, {"units=2", "units=NaN", 400}, {"units=2", "units=+2", 400},
		{"units=2", "units=5", 400}, {"units=2,", "", 400}, {"spread=3", "spread=0", 400}, {"spread=3", "spread=4", 400},
		{"units=2", "units=2,units=2", 400}, {"first=1", "first=0.5", 400}, {"first=1", "first=99999999999999999999", 400},
		{"first=1", "first=3", 400}, {"first=1", "first=-1", 400}, {"first=1", "first=x", 400},
		{"00000000b4d65521", "00000000B4D65521", 404}, // each customer has exactly one name
		{"Plan: team\n", "Plan: team\nPlan: team\n", 400}, {"X-Budget: 480m\n", "X-Budget: 480m\nX-Budget: 9m\n", 400},
		{"X-Call-Id: 9b1f03aa5c7e2d41", "X-Call-Id: a\nX-Call-Id: b", 400}, {"9b1f03aa5c7e2d41", "a b", 400},
		{"9b1f03aa5c7e2d41", strings.Repeat("a", maxWordBytes+1), 400},
		{"Idempotency-Key: 5c0f\n", "", 400}, {"Key: 5c0f\n", "Key: 5c0f\nIdempotency-Key: 5c0f\n", 400},
		{"POST /post/", "PUT /post/", 405}, {"POST /post/", "POST /read/", 405}, {"POST /post/", "GET /read/", 405},
		{"/post/x/00000000b4d65521", "http://h/post/x/00000000b4d65521", 404}, {"POST /post/x/00000000b4d65521?q=%41", "OPTIONS *", 404},
		{"HTTP/1.1", "HTTP/1.0", 505},
		{"Content-Length: 5\n\n12345", "Content-Length: 65537\n\n", 413},
		{"Content-Length: 5\n\n12345", "Content-Length: 60000000\n\n123", 413},
		{"Plan", "X: " + strings.Repeat("x", 40<<10) + "\nPlan", 431},
		{"Plan", strings.Repeat("X:\n", maxHeadFields) + "Plan", 431},
		// Only part of the body is sent: the response does not wait for the rest.
		{"Content-Length: 5\n\n12345", "Content-Length: 99\nPlan: gold\n\n12345", 400},
		// A Content-Length beside chunked encoding may hide another request in the bytes that follow.
		{"Content-Length: 5\n", "Content-Length: 5\nTransfer-Encoding: chunked\n", 411},
		{"Content-Length: 5\n\n12345", "Transfer-Encoding: chunked\nContent-Length: 5\n\n0\n\n" + validRequest, 411},
		{"Content-Length: 5\n\n12345", "Transfer-Encoding: chunked\n\n5\n12345\n0\n\n", 411},
		{"POST /post/x/00000000b4d65521?q=%41 HTTP/1.1\n", "POST /post/x/00000000b4d65521 HTTP/1.0\nTransfer-Encoding: chunked\n", 505},
	} {
		client := server.connect(t)
		if !strings.Contains(validRequest, c.old) {
			t.Fatalf("%q is not in validRequest", c.old)
		}
		client.send(strings.Replace(validRequest, c.old, c.new, 1))
		if resp, _ := client.response(); resp.StatusCode != c.status || resp.StatusCode == 431 && !resp.Close {
			t.Errorf("%.40q for %q: status %d, want %d", c.new, c.old, resp.StatusCode, c.status)
		}
		if ev, ok := (<-server.events).(core.RequestMalformed); !ok {
			t.Errorf("%.40q for %q: posted %+v, want RequestMalformed", c.new, c.old, ev)
		}
		if len(server.events) > 0 {
			t.Errorf("%.40q for %q: also posted %+v, want no further event", c.new, c.old, <-server.events)
		}
	}
}

// After a malformed request with an unread body the server closes the connection without a reset: net/http must not
// proceed to the next request while it still reads that body, because it panics then.
func TestUnreadBodyClosesConn(t *testing.T) {
	logCore, logs := observer.New(zap.DebugLevel)
	server := startServer(t, func(o *Options) { o.Log = zap.New(logCore) })
	client := server.connect(t)
	client.send(strings.Replace(validRequest, "Plan: team", "Plan: gold", 1))
	if resp, _ := client.response(); resp.StatusCode != 400 || !resp.Close {
		t.Errorf("status %d, closes the connection: %v; want 400 and true", resp.StatusCode, resp.Close)
	}
	<-server.events
	client.setReadDeadline()
	if rest, err := io.ReadAll(client.reader); len(rest) > 0 || err != nil {
		t.Errorf("after the response: read %q, error %v, want the end of the stream", rest, err)
	}
	if logs.Len() > 0 {
		t.Errorf("logged %.200s, want no log line", logs.All()[0].Message)
	}
	client = server.connect(t)
	client.send(strings.Replace(strings.Replace(validRequest, "POST /post", "GET /read", 1), "Content-Length: 5\n\n12345", "Plan: gold\n\n", 1))
	if resp, _ := client.response(); resp.StatusCode != 400 || resp.Close {
		t.Errorf("without a body: status %d, closes the connection: %v; want 400 and false", resp.StatusCode, resp.Close)
	}
}

// No request waits for longer than its class allows. A connection has no read timeout while a request waits, because a
// timeout would be taken for a client that disconnected.
func TestLongestBudget(t *testing.T) {
	server := startServer(t)
	server.connect(t).send(strings.Replace(validRequest, "480m", "50050m", 1))
	if ev := (<-server.events).(*core.RequestReceived); ev.Budget != 50*time.Second || server.server.ReadTimeout != 0 {
		t.Errorf("budget %v, read timeout %v, want 50s and none", ev.Budget, server.server.ReadTimeout)
	}
}

// A request that net/http itself cannot parse is answered with 4xx or 5xx, or its connection is closed. It is never
// posted as a request, and it is counted.
func TestUnparsableRequests(t *testing.T) {
	server := startServer(t)
	for _, text := range []string{
		"\x00\xff\n\n", "GET\n\n", strings.Replace(validRequest, ": 5\n", ": -5\n", 1), strings.Replace(validRequest, ": 5\n", ": 5\nContent-Length: 6\n", 1),
		strings.Replace(validRequest, ": 5\n", ": 99999999999999999999\n", 1), strings.Replace(validRequest, ": 5\n", ": five\n", 1),
		strings.Replace(validRequest, "Content-Length: 5", "Transfer-Encoding : chunked", 1),
		strings.Replace(validRequest, "Content-Length: 5", "Transfer-Encoding: gzip, chunked", 1),
	} {
		client := server.connect(t)
		client.send(text)
		if resp, err := http.ReadResponse(client.reader, nil); err == nil && resp.StatusCode < 400 {
			t.Errorf("%.60q: status %d, want 4xx, 5xx or a close", text, resp.StatusCode)
		}
		if ev := *(<-server.events).(*core.ClientConnClosed); !ev.Unread {
			t.Errorf("%.60q: posted %+v, want Unread", text, ev)
		}
	}
}

// A body of the maximum length is read.
func TestLongestBody(t *testing.T) {
	server := startServer(t)
	client := server.connect(t)
	client.send(validHead + "Content-Length: 65536\n\n" + strings.Repeat("x", maxBodyBytes))
	if ev := (<-server.events).(*core.RequestReceived); len(ev.Content.(*upstream.Request).Body) != maxBodyBytes {
		t.Errorf("body of %d bytes, want maxBodyBytes", len(ev.Content.(*upstream.Request).Body))
	}
}

// A request whose body is incomplete is answered with 408 once the timeout for the body has passed, and its connection
// is closed. The timeout starts at the end of the head, also for a request that is not the first on its connection.
func TestHalfBody(t *testing.T) {
	server, elapsed := startServerWithMaxConns(t, 0)
	client := server.connect(t)
	client.send(validRequest)
	server.reject((<-server.events).(*core.RequestReceived).ID)
	client.response()
	server.awaitState(stateIdle, 1)
	elapsed.Store(-int64(malformedTimeout)) // so that the timeout has already passed
	client.send(validHead + "Content-Length: 5\n\n123")
	if resp, _ := client.response(); resp.StatusCode != 408 || !resp.Close {
		t.Errorf("status %d, closes the connection: %v; want 408 and true", resp.StatusCode, resp.Close)
	}
	if ev := <-server.events; ev != (core.RequestMalformed{Cause: core.BadFraming}) {
		t.Errorf("posted %+v, want RequestMalformed with BadFraming", ev)
	}
	if _, err := client.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("read error %v, want EOF", err)
	}
}

// A client that takes nearly 2 s for a head, and then sends a body of 60 KiB at slightly more than 64 KiB per second, is
// served. The time for the body starts at the end of the head, and depends on its length.
func TestSlowClient(t *testing.T) {
	t.Parallel()
	server := startServer(t)
	client := server.connect(t)
	const size = 60 << 10
	head := validHead + fmt.Sprintf("Content-Length: %d\n\n", size)
	piece := len(head)/8 + 1
	for i := 0; i < len(head); i += piece {
		client.send(head[i:min(i+piece, len(head))])
		time.Sleep(240 * time.Millisecond)
	}
	for range 10 {
		client.send(strings.Repeat("x", size/10))
		time.Sleep(90 * time.Millisecond)
	}
	first := <-server.events
	ev, ok := first.(*core.RequestReceived)
	if !ok {
		t.Fatalf("a slow client was cut off: %+v", first)
	}
	if n := len(ev.Content.(*upstream.Request).Body); n != size {
		t.Errorf("body of %d bytes, want 60 KiB", n)
	}
	server.reject(ev.ID)
	client.response()
}

// A client that sends a few bytes of a further request with the one before, and stops, is closed in time as well.
func TestStartOfNextRequestBehindRequestIsTimedOut(t *testing.T) {
	server, elapsed := startServerWithMaxConns(t, 0)
	client := server.connect(t)
	elapsed.Store(-int64(headTimeout) * 9 / 10) // so that the client has a tenth of the timeout left
	client.send("GET /ready HTTP/1.1\nHost: x\n\nGE")
	client.response()
	client.expectClose()
	if ev := <-server.events; *ev.(*core.ClientConnClosed) != (core.ClientConnClosed{Unread: true, Reason: core.CloseTimeout}) {
		t.Errorf("posted %+v, want ClientConnClosed of a timeout", ev)
	}
}
