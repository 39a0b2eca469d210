package admin

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"lemongate/internal/admission"
	"lemongate/internal/core"
)

// serve starts a Server on a free port, which is closed at the end of the test.
func serve(t *testing.T) (s *Server, address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	sources := Sources{
		AttemptsWritten: func() uint64 { return 7 },
		Resources:       func() []core.ResourceUsage { return nil },
	}
	s = New(sources, func(core.Event) {}, zap.NewNop())
	go func() { _ = s.Serve(l) }() // ends with Close; the calls show whether it serves
	t.Cleanup(s.Close)
	return s, l.Addr().String()
}

// call sends GET for a path and returns the status and the body of the response.
func call(t *testing.T, address, path string) (status int, body string) {
	t.Helper()
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + address + path)
	if err != nil {
		t.Error(path, err)
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Error(path, err)
	}
	return resp.StatusCode, string(text)
}

// Metrics have the names that operators use, and /healthcheck reports whether clients are accepted.
func TestStatsAndHealthcheck(t *testing.T) {
	s, address := serve(t)
	if status, _ := call(t, address, "/healthcheck"); status != 503 {
		t.Errorf("/healthcheck before clients are accepted: status %d, want 503", status)
	}
	s.SetReady(true)
	s.Publish(core.Metrics{
		Classes: []core.ClassCounts{{Class: "C", Completed: 812, Rejected: 3, Failed: 2}, {Class: "D"}},
		Pending: 14, ListedBackends: 9, Unavailable: 4,
	})
	if status, _ := call(t, address, "/healthcheck"); status != 200 {
		t.Errorf("/healthcheck once clients are accepted: status %d, want 200", status)
	}
	_, body := call(t, address, "/stats")
	for _, line := range []string{
		`router_completed_total{lane="C"} 812`, `router_rejected_total{lane="C"} 3`, `router_failed_total{lane="C"} 2`,
		`router_completed_total{lane="D"} 0`, `router_upstream_requests_total 7`, `router_pending 14`,
		`router_members 9`, `router_members_unavailable 4`,
	} {
		if !strings.Contains("\n"+body, "\n"+line+"\n") {
			t.Errorf("metric %s is missing in the body of /stats:\n%s", line, body)
		}
	}
	for _, path := range []string{"/", "/stats/x"} {
		if status, _ := call(t, address, path); status != 404 {
			t.Errorf("%s: status %d, want 404", path, status)
		}
	}
}

// Callers that keep connections open and send nothing or part of a call do not prevent other callers from being served.
func TestHangingCallers(t *testing.T) {
	s, address := serve(t)
	s.SetReady(true)
	for i := range 3 * maxConns {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		if i%2 == 1 {
			_, _ = fmt.Fprint(conn, "GET /stats HT") // fails if the connection was closed to make room
		}
	}
	for range 3 {
		if status, _ := call(t, address, "/healthcheck"); status != 200 {
			t.Errorf("/healthcheck while other callers hang: status %d, want 200", status)
		}
	}
	// The server closes a connection on which nothing is sent.
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetReadDeadline(time.Now().Add(10 * callTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(make([]byte, 1)); err == nil || strings.Contains(err.Error(), "timeout") {
		t.Errorf("read on a connection on which nothing was sent: error %v, want it closed by the server", err)
	}
}

// A monitor may send HEAD for the restart slots, which must change nothing. If HEAD were handled like DELETE, it would
// withdraw the limiter's request for a slot.
func TestHeadOfRestartSlotsChangesNothing(t *testing.T) {
	s, address := serve(t)
	posted := make(chan core.Event, 10)
	s.post = func(ev core.Event) { posted <- ev }
	s.Publish(core.Metrics{RestartSlots: core.RestartSlotView{Enabled: true, Wanted: true}})
	response, err := http.Head("http://" + address + "/turn")
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close() // a response to HEAD has no body
	if response.StatusCode != http.StatusOK {
		t.Errorf("status %d, want 200 as for GET", response.StatusCode)
	}
	if len(posted) > 0 {
		t.Errorf("posted %+v, want no event", <-posted)
	}
}

// The metrics show the reasons for which connections were closed, requests answered and attempts retried.
func TestMetricsByReason(t *testing.T) {
	s, address := serve(t)
	var metrics core.Metrics
	metrics.Closes[core.CloseTimeout] = 3
	metrics.Replies[core.ReplyDisconnected] = 4
	metrics.Retried[admission.Rejected] = 5
	metrics.Resources = []core.ResourceUsage{{Resource: "customers", Used: 6, Limit: 9}}
	s.Publish(metrics)
	_, body := call(t, address, "/stats")
	for _, want := range []string{
		`router_resource_used{resource="customers"} 6`,
		`router_resource_limit{resource="customers"} 9`,
		`router_client_connections_closed_total{reason="timeout"} 3`,
		`router_local_replies_total{reason="disconnected"} 4`,
		`router_retries_total{reason="rejected"} 5`,
	} {
		if !strings.Contains(body, want) {
			t.Errorf("the metrics lack %s", want)
		}
	}
}
