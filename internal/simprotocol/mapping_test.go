package simprotocol

import (
	"reflect"
	"testing"
	"time"

	"lemongate/internal/admission"
)

const ms = time.Millisecond

// Each event's line decodes into the event that the platform's documentation describes, with every part in its field.
func TestEventOfEachLine(t *testing.T) {
	for text, want := range map[string]admission.Event{
		"accept\tdoor_3\t77\t0.29\t1\t1\t3\t1\tstarter\t2\tcust/x\tread-latest": &admission.Request{
			ID: 77, Budget: 290 * ms, FirstLimiter: 1, SetSize: 3, IsRetry: true, Plan: "starter", Units: 2,
			Customer: "cust/x", Class: "read-latest",
		},
		"first\tdoor_3\t77\t0.1\tb_one\t4": &admission.ResponseStarted{Request: 77, Attempt: 4},
		"answer\tdoor_3\t77\t4\tb_one\tecanceled\t0.0185\t1\t86\t3\t14.5,-,0.62": &admission.AttemptFinished{
			Request: 77, Attempt: 4, Backend: "b_one", Result: admission.Canceled, Latency: 18500 * time.Microsecond,
			Final: true, Report: []float64{14.5, 0, 0.62},
		},
		"answer\tdoor_3\t77\t4\tb_one\tdone\t0.1\t0\t-\t-\t-": &admission.AttemptFinished{
			Request: 77, Attempt: 4, Backend: "b_one", Result: admission.Succeeded, Latency: 100 * ms,
		},
		"aborted\tdoor_3\t77":                    &admission.RequestEnded{Request: 77},
		"fired\tdoor_3\tbeat":                    admission.TimerFired{},
		"fired\tdoor_3\tsweep":                   admission.TimePassed{},
		"message\tdoor_3\t5\taGkgNw==":           &admission.PeerMessage{From: 5, Data: []byte("hi 7")},
		"reckoned\tdoor_3\t38\tdone\t0.1\tsweep": nil,
		"probed\tdoor_3\tb_one\tetimedout\t0.4\t1,2": &admission.ProbeResult{
			Backend: "b_one", Result: admission.TimedOut, Latency: 400 * ms, Report: []float64{1, 2},
		},
	} {
		l, err := splitEvent(text)
		if err != nil {
			t.Errorf("%q: %v", text, err)
			continue
		}
		got, err := (&server{}).decodeEvent(&l)
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%q: got event %+v, error %v; want event %+v", text, got, err, want)
		}
	}
}

// A row of an endpoint list decodes with every part in its field.
func TestRow(t *testing.T) {
	got, err := decodeEndpoint("row\tb_one\thall-a\tstd-2c\t7\tquiescing\t1.5\t6.1")
	want := admission.Backend{
		ID: "b_one", Zone: "hall-a", Cell: 7, State: admission.Draining, RelativeCapacity: 1.5, StartedAt: 6100 * ms,
	}
	if err != nil || got != want {
		t.Errorf("got backend %+v, error %v; want %+v", got, err, want)
	}
}

// Each action is encoded as the line that release 0.8.0 writes for it.
func TestLineOfEachAction(t *testing.T) {
	for _, test := range []struct {
		action admission.Action
		want   string
	}{
		{admission.StartAttempt{Request: 77, Backend: "b_one", Deadline: 8492250 * time.Microsecond}, "attempt\tdoor_3\t77\tb_one\t8.492250\n"},
		{admission.Reject{Request: 77, RetryAfter: 400 * ms}, "deny\tdoor_3\t77\t0.400000\n"},
		{admission.Fail{Request: 77}, "drop_request\tdoor_3\t77\n"},
		{admission.CancelAttempt{Request: 77, Attempt: 4}, "stop_attempt\tdoor_3\t77\t4\n"},
		{admission.SetTimer{At: 1750 * ms}, "defer\tdoor_3\t1.750000\tbeat\n"},
		{admission.SendToPeer{Peer: 5, Data: []byte("hi 7")}, "say\tdoor_3\t5\taGkgNw==\n"},
		{admission.ProbeBackend{Backend: "b_one"}, "inspect\tdoor_3\tb_one\n"},
		{admission.PollEndpoints{}, "listen\tdoor_3\t1\n"},
		{admission.Log{Text: "two\tservers\nknown"}, "remark\tdoor_3\ttwo servers known\n"},
	} {
		var r reply
		r.add("door_3", test.action)
		if got := string(r.text); got != test.want {
			t.Errorf("%T: got %q, want %q", test.action, got, test.want)
		}
	}
}
