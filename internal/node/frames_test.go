package node

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"lemongate"
	"lemongate/internal/fetch"
	"lemongate/internal/golden"
	"lemongate/internal/handover"
	"lemongate/internal/handover/link"
	"lemongate/internal/reducer"
)

// filled returns a value whose fields differ, and whose booleans follow a pattern.
func filled[T any](pattern int) T {
	var value T
	(&golden.Filler{Pattern: pattern}).Fill(&value)
	return value
}

// The frames that 0.8.0 wrote are read as the events that they were written from, and written as
// they were then.
func TestFramesOfEarlierRelease(t *testing.T) {
	for pattern := range 3 {
		state := filled[reducer.Inherit](pattern)
		began := filled[reducer.Began](pattern)
		ended := filled[reducer.Ended](pattern)
		relayed := filled[reducer.Relayed](pattern)
		content := filled[fetch.Req](pattern)
		relayed.Content = &content
		answer := filled[reducer.Answer](pattern)
		reply := filled[fetch.Reply](pattern)
		answer.Reply = &reply
		for _, c := range []struct {
			name  string
			kind  uint8
			body  any
			event reducer.Event
		}{
			{"state", uint8(handover.Transfer), encodeState(state), &reducer.KinHeard{Kind: handover.Transfer, Inherit: &state}},
			{"began", frameBegan, encodeBegan(began), &reducer.KinOut{Began: began}},
			{"ended", frameEnded, encodeEnded(ended), &reducer.KinOver{Ended: ended}},
			{"relayed", frameRelay, encodeRelayed(relayed), &reducer.KinAsked{Relayed: relayed}},
			{"gave", frameGave, reducer.ReqID(4711), reducer.KinLeft{Req: 4711}},
			{"reply", frameReply, encodeAnswer(answer), &reducer.KinAnswered{Answer: answer}},
		} {
			name := fmt.Sprintf("frames/%s-%d.json", c.name, pattern)
			data, err := codec.Marshal(c.body)
			if err != nil {
				t.Fatal(err)
			}
			golden.Equal(t, name, data)
			got, err := decode(link.Frame{Kind: c.kind, Body: golden.Read(t, name)})
			if heard, ok := got.(*reducer.KinHeard); ok {
				heard.Sockets = nil
			}
			if err != nil || !reflect.DeepEqual(got, c.event) {
				t.Errorf("%s: read as %+v, %v; want %+v", name, got, err, c.event)
			}
		}
	}
	data, err := codec.Marshal(filled[helloOfRelease](0))
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "frames/hello.json", data)
}

// The numbers of what the two processes say, and of the values that go with it.
func TestNumbersOfFrames(t *testing.T) {
	var b strings.Builder
	for kind := range handover.NKinds {
		fmt.Fprintf(&b, "frame %d %v\n", kind, kind)
	}
	fmt.Fprintf(&b, "frame %d began\nframe %d ended\nframe %d relayed\nframe %d gave\nframe %d reply\nframe %d session\n",
		frameBegan, frameEnded, frameRelay, frameGave, frameReply, frameSession)
	fmt.Fprintf(&b, "answer served %d refused %d failed %d clashed %d\n", reducer.Served, reducer.Refused, reducer.Failed, reducer.Clashed)
	fmt.Fprintf(&b, "result done %d errored %d turned away %d timed out %d unreachable %d broken %d canceled %d not sent %d disconnected %d\n",
		lemongate.Done, lemongate.Errored, lemongate.TurnedAway, lemongate.TimedOut, lemongate.Unreachable, lemongate.Broken,
		lemongate.Canceled, lemongate.NotSent, lemongate.Disconnected)
	fmt.Fprintf(&b, "backend live %d draining %d dead %d\n", lemongate.Live, lemongate.Draining, lemongate.Dead)
	fmt.Fprintf(&b, "effect unsafe %d keyed %d safe %d\n", lemongate.Unsafe, lemongate.Keyed, lemongate.Safe)
	fmt.Fprintf(&b, "group cell %d zone %d all %d\n", lemongate.GroupCell, lemongate.GroupZone, lemongate.GroupAll)
	golden.Equal(t, "frames/numbers.txt", []byte(b.String()))
}
