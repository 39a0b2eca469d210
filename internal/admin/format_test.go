package admin

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"lemongate/internal/core"
	"lemongate/internal/golden"
)

// The server keeps the paths, methods, statuses, content types, metric names, labels and JSON of release 0.8.0, which
// scrapers and scripts read. Help texts are for people and may change.
func TestCallsOfEarlierRelease(t *testing.T) {
	s, address := serve(t)
	var b strings.Builder
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	call := func(method, path string) {
		r, err := http.NewRequest(method, "http://"+address+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := client.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&b, "%s %s: %d %s\n", method, path, resp.StatusCode, resp.Header.Get("Content-Type"))
		if resp.StatusCode < 300 && path != "/healthcheck" {
			for line := range strings.Lines(string(body)) {
				if !strings.HasPrefix(line, "# HELP") {
					b.WriteString(line)
				}
			}
		}
	}
	methods := []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodDelete}
	for _, method := range methods {
		call(method, "/healthcheck")
	}
	call(http.MethodGet, "/turn")
	call(http.MethodGet, "/leases")
	s.SetReady(true)
	var metrics core.Metrics
	(&golden.Filler{}).Fill(&metrics)
	metrics.RestartSlots.Enabled = true
	s.Publish(metrics)
	for _, path := range []string{"/healthcheck", "/stats", "/leases", "/turn", "/turn?forget=3", "/turn?forget=x", "/", "/metrics"} {
		for _, method := range methods {
			call(method, path)
		}
	}
	golden.Equal(t, "calls.txt", []byte(b.String()))
}
