package upstream

import (
	"reflect"
	"testing"

	"lemongate/internal/admission"
	"lemongate/internal/core"
)

// A probe reports the load report of the header or, without one there, of the body.
func TestProbe(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		want     admission.Result
		report   []float64
	}{
		"header": {response("200 OK", "X-Load-Report: TEXT util=0.5, latency_ms=7\r\n", "ok"), admission.Succeeded, []float64{7, 0.5}},
		"body":   {response("200 OK", "", "TEXT latency_ms=3, util=0.25\n"), admission.Succeeded, []float64{3, 0.25}},
		"error":  {response("503 Ill", "", ""), admission.Errored, nil},
		"closed": {closeWithoutResponse, admission.Unreachable, nil},
	} {
		backend := startBackend(t, c.response)
		client := newTestClient(backend.listener.Addr().String())
		client.Probe(core.ProbeBackend{Backend: "b", Addr: client.addr})
		got := (<-client.events).(*core.ProbeFinished)
		if got.Result != c.want || !reflect.DeepEqual(got.Report, c.report) || got.Backend != "b" {
			t.Errorf("%s: got outcome %+v, which differs from the expected one", name, got)
		}
		if path := (<-backend.requests).request.RequestURI; path != "/status/load" {
			t.Errorf("%s: path %s, want /status/load", name, path)
		}
		client.Close()
	}
}

// Without a connect timeout in the settings, probes must not time out at once.
func TestNoConnectTimeout(t *testing.T) {
	backend := startBackend(t, response("200 OK", "", ""))
	client := newTestClient(backend.listener.Addr().String(), func(o *Options) { o.ConnectTimeout = 0 })
	defer client.Close()
	client.Probe(core.ProbeBackend{Backend: "b", Addr: client.addr})
	if got := (<-client.events).(*core.ProbeFinished); got.Result != admission.Succeeded {
		t.Errorf("result %v, want admission.Succeeded", got.Result)
	}
}
