package eventloop

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"lemongate/internal/admission"
	"lemongate/internal/core"
	"lemongate/internal/golden"
	"lemongate/internal/hotrestart"
	"lemongate/internal/hotrestart/link"
	"lemongate/internal/upstream"
)

// filled returns a value whose fields differ from each other, and whose booleans follow a pattern.
func filled[T any](pattern int) T {
	var value T
	(&golden.Filler{Pattern: pattern}).Fill(&value)
	return value
}

// The frames that 0.8.0 wrote decode to the events that they were encoded from, and those events are encoded as
// 0.8.0 encoded them.
func TestFramesOfEarlierRelease(t *testing.T) {
	for pattern := range 3 {
		state := filled[core.HandoverState](pattern)
		started := filled[core.OpenAttempt](pattern)
		finished := filled[core.FinishedAttempt](pattern)
		forwarded := filled[core.ForwardedRequest](pattern)
		content := filled[upstream.Request](pattern)
		forwarded.Content = &content
		response := filled[core.Respond](pattern)
		responseContent := filled[upstream.Response](pattern)
		response.Response = &responseContent
		for _, c := range []struct {
			name  string
			kind  uint8
			body  any
			event core.Event
		}{
			{"state", uint8(hotrestart.Transfer), newStateFrame(state), &core.LinkMessageReceived{Kind: hotrestart.Transfer, State: &state}},
			{"began", frameAttemptStarted, newAttemptStartedFrame(started), &core.PredecessorAttemptStarted{OpenAttempt: started}},
			{"ended", frameAttemptFinished, newAttemptFinishedFrame(finished), &core.PredecessorAttemptFinished{FinishedAttempt: finished}},
			{"relayed", frameForwardedRequest, newForwardedRequestFrame(forwarded), &core.ForwardedRequestReceived{ForwardedRequest: forwarded}},
			{"gave", frameCanceledRequest, core.RequestID(4711), core.ForwardedRequestCanceled{Request: 4711}},
			{"reply", frameForwardedResponse, newForwardedResponseFrame(response), &core.ForwardedResponseReceived{Respond: response}},
		} {
			name := fmt.Sprintf("frames/%s-%d.json", c.name, pattern)
			data, err := frameCodec.Marshal(c.body)
			if err != nil {
				t.Fatal(err)
			}
			golden.Equal(t, name, data)
			got, err := decode(link.Frame{Kind: c.kind, Body: golden.Read(t, name)})
			if message, ok := got.(*core.LinkMessageReceived); ok {
				message.Sockets = nil
			}
			if err != nil || !reflect.DeepEqual(got, c.event) {
				t.Errorf("%s: decoded as %+v, error %v; want %+v", name, got, err, c.event)
			}
		}
	}
	data, err := frameCodec.Marshal(filled[helloFrame](0))
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "frames/hello.json", data)
}

// The numbers of the kinds of frames, and of the enumerated values in them, are those of 0.8.0.
func TestNumbersOfFrames(t *testing.T) {
	var b strings.Builder
	for kind := range hotrestart.NumKinds {
		fmt.Fprintf(&b, "frame %d %v\n", kind, kind)
	}
	fmt.Fprintf(&b, "frame %d began\nframe %d ended\nframe %d relayed\nframe %d gave\nframe %d reply\nframe %d session\n",
		frameAttemptStarted, frameAttemptFinished, frameForwardedRequest, frameCanceledRequest, frameForwardedResponse, frameClientConn)
	fmt.Fprintf(&b, "answer served %d refused %d failed %d clashed %d\n", core.Served, core.Rejected, core.Failed, core.DuplicateID)
	fmt.Fprintf(&b, "result done %d errored %d turned away %d timed out %d unreachable %d broken %d canceled %d not sent %d disconnected %d\n",
		admission.Succeeded, admission.Errored, admission.Rejected, admission.TimedOut, admission.Unreachable, admission.ConnectionLost,
		admission.Canceled, admission.NotSent, admission.ConnectFailed)
	fmt.Fprintf(&b, "backend live %d draining %d dead %d\n", admission.Live, admission.Draining, admission.Removed)
	fmt.Fprintf(&b, "effect unsafe %d keyed %d safe %d\n", admission.NonIdempotent, admission.IdempotentByKey, admission.Idempotent)
	fmt.Fprintf(&b, "group cell %d zone %d all %d\n", admission.ScopeCell, admission.ScopeZone, admission.ScopeAll)
	golden.Equal(t, "frames/numbers.txt", []byte(b.String()))
}

// The end of a predecessor's request has a frame of its own, which releases up to 0.9.1 do not send and log as unknown.
func TestRequestEndedFrame(t *testing.T) {
	data, err := frameCodec.Marshal(core.ReportRequestEnded{Request: 4711}.Request)
	if err != nil {
		t.Fatal(err)
	}
	got, err := decode(link.Frame{Kind: frameRequestEnded, Body: data})
	if want := (core.PredecessorRequestEnded{Request: 4711}); err != nil || got != want {
		t.Errorf("decoded as %+v, error %v; want %+v", got, err, want)
	}
	if frameRequestEnded != frameInheritedUsageSent+1 || uint8(hotrestart.NumKinds)+7 != frameRequestEnded {
		t.Errorf("frameRequestEnded is %d: its number is part of the format and must not change", frameRequestEnded)
	}
}

// The call IDs in a state are decoded to what they were encoded from.
func TestUsedCallIDsInState(t *testing.T) {
	for _, ids := range [][]core.UsedCallID{nil, {{Hash: core.CallIDHash{1, 2}, Until: 5 * time.Second}, {Hash: core.CallIDHash{15: 9}, Until: 1}}} {
		data, err := frameCodec.Marshal(newStateFrame(core.HandoverState{UsedCallIDs: ids}))
		if err != nil {
			t.Fatal(err)
		}
		ev, err := decode(link.Frame{Kind: uint8(hotrestart.Transfer), Body: data})
		if err != nil {
			t.Fatal(err)
		}
		if got := ev.(*core.LinkMessageReceived).State.UsedCallIDs; !reflect.DeepEqual(got, ids) {
			t.Errorf("decoded as %v, want %v", got, ids)
		}
	}
}
