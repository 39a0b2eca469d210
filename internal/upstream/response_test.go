package upstream

import (
	"bytes"
	"net"
	"os"
	"reflect"
	"strings"
	"syscall"
	"testing"
	"time"

	"lemongate/internal/admission"
)

// Each response, or lack of one, yields the result that follows from it.
func TestOutcomes(t *testing.T) {
	long := strings.Repeat("x", maxBodyBytes+1)
	for name, c := range map[string]struct {
		response string
		want     admission.Result
		report   []float64
	}{
		"served":                    {response("200 OK", "X-Load-Report: TEXT util=0.5, latency_ms=7\r\n", "hello"), admission.Succeeded, []float64{7, 0.5}},
		"chunked":                   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", admission.Succeeded, nil},
		"error":                     {response("500 Oops", "X-Load-Report: TEXT util=1, latency_ms=9\r\n", ""), admission.Errored, []float64{9, 1}},
		"rejected 503":              {response("503 Full", "X-Rejected: 1\r\n", ""), admission.Rejected, nil},
		"rejected 504":              {response("504 Over", "X-Rejected: 1\r\n", ""), admission.Rejected, nil},
		"503 without X-Rejected":    {response("503 Full", "", ""), admission.Errored, nil},
		"rejected 500":              {response("500 Oops", "X-Rejected: 1\r\n", ""), admission.Errored, nil},
		"redirect":                  {response("302 Found", "Location: /elsewhere\r\n", ""), admission.Errored, nil},
		"closed":                    {"", admission.ConnectionLost, nil},
		"cut off":                   {"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\ncut off", admission.ConnectionLost, nil},
		"chunk cut off":             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n99\r\ncut off", admission.ConnectionLost, nil},
		"too long":                  {response("200 OK", "", long), admission.ConnectionLost, nil},
		"too many chunks":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n" + long + "\r\n0\r\n\r\n", admission.ConnectionLost, nil},
		"not HTTP":                  {"what?\r\n\r\n", admission.ConnectionLost, nil},
		"header without end":        {"HTTP/1.1 200 OK\r\nX-Y", admission.ConnectionLost, nil},
		"too short":                 {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", admission.ConnectionLost, nil},
		"two lengths":               {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 4\r\n\r\nhello", admission.ConnectionLost, nil},
		"negative length":           {"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nhello", admission.ConnectionLost, nil},
		"no length":                 {"HTTP/1.1 200 OK\r\n\r\nhello", admission.ConnectionLost, nil},
		"no length, closed":         {"HTTP/1.1 200 OK\r\n\r\ncut off", admission.ConnectionLost, nil},
		"3 GB":                      {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nhello", admission.ConnectionLost, nil},
		"101":                       {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n", admission.ConnectionLost, nil},
		"1xx before response":       {"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + response("200 OK", "", "hello"), admission.Succeeded, nil},
		"copy after response":       {response("200 OK", "", "hello") + response("200 OK", "", "hello"), admission.Succeeded, nil},
		"other data after response": {response("200 OK", "", "hello") + "\x00\xff?", admission.Succeeded, nil},
		"bad report":                {response("200 OK", "X-Load-Report: TEXT util=x, latency_ms=7\r\n", "hello"), admission.Succeeded, nil},
		"two reports":               {response("200 OK", "X-Load-Report: TEXT util=1, latency_ms=7\r\nX-Load-Report: TEXT util=1, latency_ms=7\r\n", "hello"), admission.Succeeded, nil},
	} {
		t.Run(name, func(t *testing.T) {
			client := newTestClient(startBackend(t, c.response).listener.Addr().String(), func(o *Options) { o.ResponseTimeout = 20 * time.Millisecond })
			defer client.Close()
			got := client.attempt(get)
			wantInvalid := c.want == admission.ConnectionLost && c.response != closeWithoutResponse
			if got.ResponseInvalid != wantInvalid {
				t.Errorf("response invalid %v, want %v", got.ResponseInvalid, wantInvalid)
			}
			if got.Result != c.want || !reflect.DeepEqual(got.Report, c.report) {
				t.Errorf("result %v, report %v; want %v, %v", got.Result, got.Report, c.want, c.report)
			}
			if got.Result == admission.Succeeded && string(got.Response.(*Response).Body) != "hello" {
				t.Errorf("body %q, want hello", got.Response.(*Response).Body)
			}
		})
	}
}

// The body of a response with a known length is read to its end, so that the connection is kept.
func TestReadBodyKeepsConnection(t *testing.T) {
	body := bytes.Repeat([]byte("x"), maxBodyBytes)
	backend := startBackend(t, response("200 OK", "", string(body)), response("200 OK", "", ""))
	client := newTestClient(backend.listener.Addr().String())
	defer client.Close()
	client.reuseDelay = 0 // so that the second request does not need another connection
	if got := client.attempt(get).Response.(*Response); !bytes.Equal(got.Body, body) {
		t.Errorf("got a body of %d bytes, which differs from the maxBodyBytes bytes sent", len(got.Body))
	}
	client.attempt(get)
	if a, b := <-backend.requests, <-backend.requests; a.conn != b.conn {
		t.Error("the second request used a new connection, want that of the first request")
	}
}

// Data received after a response (a copy of it, arbitrary bytes, or part of a header) is never the response to the next
// attempt on that connection, even if http.Transport already has the data in its buffer. The next attempt uses
// another connection, and none of its request is written to the first.
func TestNoLeftOverResponse(t *testing.T) {
	old := response("200 OK", "", "old")
	for name, extra := range map[string]string{
		"copy": old, "two copies": old + old, "noise": "\x00\xff\r\n", "half a header": "HTTP/1.1 200 OK\r\nX-Y: ",
		"head": "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", "1xx": "HTTP/1.1 102 Processing\r\n\r\n", "a byte": "H",
	} {
		t.Run(name, func(t *testing.T) {
			for _, first := range []string{"old", ""} { // without a body, the connection is idle before the response is returned
				backend := startBackend(t, response("200 OK", "", first)+extra, response("200 OK", "", "new"), response("200 OK", "", "new"))
				client := newTestClient(backend.listener.Addr().String())
				client.reuseDelay = 0 // so that the second attempt gets the connection while the data is unread
				for range 2 {         // without a pause, so that the second attempt races with the transport's own check
					got := client.attempt(get)
					if got.Result != admission.Succeeded {
						t.Fatalf("result %v, want admission.Succeeded", got.Result)
					}
					if body := string(got.Response.(*Response).Body); body != first {
						t.Fatalf("got the body %q of another response", body)
					}
					first = "new"
				}
				if a, b := <-backend.requests, <-backend.requests; a.conn == b.conn {
					t.Error("the connection with unread data was used again, want a new connection")
				}
				client.Close()
			}
		})
	}
}

// A connect that this machine cannot make is no evidence against a backend, one that the network cannot make only weak
// evidence.
func TestResultOfFailedConnect(t *testing.T) {
	for errno, want := range map[syscall.Errno]admission.Result{
		syscall.ENFILE: admission.NotSent, syscall.EMFILE: admission.NotSent, syscall.ENOBUFS: admission.NotSent,
		syscall.EADDRNOTAVAIL: admission.NotSent, syscall.ENETUNREACH: admission.ConnectFailed,
		syscall.EHOSTUNREACH: admission.ConnectFailed, syscall.ETIMEDOUT: admission.ConnectFailed,
		syscall.ECONNREFUSED: admission.Unreachable, syscall.ECONNRESET: admission.Unreachable,
	} {
		err := &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)}
		if got := resultWithoutConn(err); got != want {
			t.Errorf("%v: got result %v, want %v", errno, got, want)
		}
	}
}
