package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"lemongate/internal/admission"
	"lemongate/internal/core"
)

// probeTimeoutFactor is the timeout of a probe as a multiple of the connect timeout.
const probeTimeoutFactor = 2

// Probe requests the load report of a backend and posts the outcome as a core.ProbeFinished. Its goroutine ends
// at the probe's timeout at the latest.
func (c *Client) Probe(e core.ProbeBackend) {
	c.mu.Lock()
	b := c.backend(e.Backend, e.Addr)
	c.mu.Unlock()
	go func() {
		start := time.Now()
		out := c.probe(b, e.Addr)
		c.options.Post(&core.ProbeFinished{
			Backend: e.Backend, Result: out.result, Latency: time.Since(start), Report: out.report,
		})
	}()
}

func (c *Client) probe(b *backend, addr string) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeoutFactor*c.options.ConnectTimeout)
	defer cancel()
	conn, err := b.pool.get(ctx)
	if err != nil {
		return outcome{result: probeResultWithoutResponse(ctx)}
	}
	defer b.pool.put(conn)
	conn.assign(nil)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: conn.responseBuffered})
	request := &http.Request{
		Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: addr, Path: "/status/load"},
		Header: http.Header{"User-Agent": nil}, Body: io.NopCloser(bytes.NewReader(nil)),
	}
	response, err := conn.transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return outcome{result: probeResultWithoutResponse(ctx)}
	}
	defer func() { _ = response.Body.Close() }() // the body was read to its end, or the connection is closed
	return c.receiveProbe(conn.backendConn, response)
}

// probeResultWithoutResponse returns the result of a probe that failed, whose time may have ended.
func probeResultWithoutResponse(ctx context.Context) admission.Result {
	if ctx.Err() != nil {
		return admission.TimedOut
	}
	return admission.Unreachable
}

// receiveProbe reads the response to a probe, whose header was received.
func (c *Client) receiveProbe(conn *backendConn, response *http.Response) outcome {
	if started, _ := conn.progress(nil); !started { // see Client.receive
		_ = conn.Close()
		return outcome{result: admission.Unreachable}
	}
	err := errResponseUnframed
	var body []byte
	if isFramed(response) {
		body, err = readBody(response)
	}
	if err != nil {
		_ = conn.Close() // the start of the next response on it is unknown
		return outcome{result: admission.ConnectionLost}
	}
	if response.StatusCode != http.StatusOK {
		return outcome{result: admission.Errored}
	}
	texts := response.Header["X-Load-Report"]
	if len(texts) == 0 {
		texts = []string{string(body)}
	}
	return outcome{result: admission.Succeeded, report: parseLoadReport(texts, c.options.LoadReportFields)}
}
