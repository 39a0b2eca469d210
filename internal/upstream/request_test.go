package upstream

import (
	"net/http"
	"reflect"
	"sync/atomic"
	"testing"
	"time"

	"lemongate/internal/admission"
	"lemongate/internal/core"
)

// By itself, http.Transport retries a GET, and any request with an Idempotency-Key, when a reused connection breaks.
// That must not happen: the limiter has not decided on such an attempt.
func TestTransportDoesNotRetry(t *testing.T) {
	for name, request := range map[string]*Request{
		"GET":   get,
		"keyed": {Method: "POST", URI: get.URI, Host: get.Host, CallID: "id2", IdempotencyKey: "k", Body: []byte("x")},
		"empty": {Method: "POST", URI: get.URI, Host: get.Host, CallID: "id3", IdempotencyKey: "k"},
	} {
		t.Run(name, func(t *testing.T) {
			backend := startBackend(t, response("200 OK", "", ""), "", response("200 OK", "", ""))
			client := newTestClient(backend.listener.Addr().String())
			defer client.Close()
			client.reuseDelay = 0 // so that the second request is sent on the same connection
			client.attempt(request)
			if got := client.attempt(request); got.Result != admission.ConnectionLost {
				t.Errorf("result %v, want admission.ConnectionLost", got.Result)
			}
			first, second := <-backend.requests, <-backend.requests
			if first.conn != second.conn {
				t.Fatal("the second request used a new connection, so the test proves nothing")
			}
			if len(backend.requests) != 0 {
				t.Errorf("request was sent again: %v", <-backend.requests)
			}
		})
	}
}

// Whatever identifies a request is forwarded unchanged, and no header is added that would change the response.
func TestRequestForwardedUnchanged(t *testing.T) {
	backend := startBackend(t, response("200 OK", "Content-Type: a/b\r\n", "x"))
	client := newTestClient(backend.listener.Addr().String())
	defer client.Close()
	request := &Request{
		Method: "POST", URI: "/post//a%2Fb/../00000000b4d65521?q=%41&&;x", Host: "backend.local",
		CallID: "9b1f03aa5c7e2d41", IdempotencyKey: "5c0f", ContentType: "text/x", Body: []byte("12345"),
	}
	if served := client.attempt(request).Response.(*Response); served.ContentType != "a/b" {
		t.Errorf("content type %q, want a/b", served.ContentType)
	}
	got := <-backend.requests
	want := http.Header{
		"X-Call-Id": {request.CallID}, "Idempotency-Key": {request.IdempotencyKey}, "Content-Type": {request.ContentType},
		"X-Budget": {"1234m"}, "Content-Length": {"5"},
	}
	if got.request.Method != request.Method || got.request.RequestURI != request.URI || got.request.Host != request.Host ||
		got.body != "12345" || !reflect.DeepEqual(got.request.Header, want) {
		t.Errorf("request was changed: %s %s %s %q %v", got.request.Method, got.request.RequestURI, got.request.Host, got.body, got.request.Header)
	}
}

// A request without a body is sent without a body and without Content-Length or Transfer-Encoding.
func TestNoBody(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		backend := startBackend(t, response("200 OK", "", ""))
		client := newTestClient(backend.listener.Addr().String())
		client.attempt(&Request{Method: method, URI: get.URI, Host: get.Host, CallID: "id4"})
		got := <-backend.requests
		want := http.Header{"X-Call-Id": {"id4"}, "X-Budget": {"1234m"}}
		if !reflect.DeepEqual(got.request.Header, want) || got.request.TransferEncoding != nil || got.body != "" {
			t.Errorf("%s: headers %v, transfer encoding %v, body %q; want no body and no framing", method, got.request.Header, got.request.TransferEncoding, got.body)
		}
		client.Close()
	}
}

// A backend is told how long the client still waits when the request is sent, not when the attempt started: connecting takes
// part of that time. An attempt whose time is over is not sent.
func TestBudgetIsWhatIsLeftOnceConnected(t *testing.T) {
	for connecting, want := range map[time.Duration]string{200 * time.Millisecond: "1034m", 1234 * time.Millisecond: ""} {
		backend := startBackend(t, response("200 OK", "", ""))
		var now atomic.Int64
		client := newTestClient(backend.listener.Addr().String(), func(o *Options) {
			o.Now = func() time.Duration { return time.Duration(now.Load()) }
		})
		client.hooks.onConnected = func(core.AttemptID) { now.Add(int64(connecting)) }
		got := client.attempt(get)
		switch {
		case want == "" && got.Result != admission.NotSent:
			t.Errorf("after %v: result %v, want not sent", connecting, got.Result)
		case want != "":
			if budget := (<-backend.requests).request.Header.Get("X-Budget"); budget != want {
				t.Errorf("after %v the backend was told a budget of %s, want %s", connecting, budget, want)
			}
		}
		client.Close()
	}
}

// Nothing is sent for a client that has left by the time the request would be sent, although nobody has withdrawn the attempt.
func TestNothingIsSentForClientThatLeft(t *testing.T) {
	backend := startBackend(t, response("200 OK", "", ""))
	client := newTestClient(backend.listener.Addr().String())
	defer client.Close()
	var left atomic.Bool
	request := *get
	request.ClientWaits = func() bool { return !left.Load() }
	client.hooks.onConnected = func(core.AttemptID) { left.Store(true) }
	if got := client.attempt(&request); got.Result != admission.NotSent {
		t.Errorf("result %v, want not sent", got.Result)
	}
	left.Store(false)
	client.hooks.onConnected = func(core.AttemptID) {}
	if got := client.attempt(&request); got.Result != admission.Succeeded {
		t.Errorf("result %v of a client that waits, want succeeded", got.Result)
	}
	if n := len(backend.requests); n != 1 {
		t.Errorf("%d requests arrived, want that of the client that waits", n)
	}
}
