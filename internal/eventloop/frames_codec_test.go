package eventloop

import (
	"testing"

	"lemongate/internal/alloctest"
	"lemongate/internal/core"
	"lemongate/internal/hotrestart"
	"lemongate/internal/hotrestart/link"
)

// After initTransferCodecs, the first state that a process encodes or decodes costs no more allocations than later
// ones: no process admits requests during the transfer, and in most processes the first state is the only one.
func TestFirstTransferCostsNoMoreThanLater(t *testing.T) {
	if !alloctest.InFreshProcess(t) {
		return
	}
	initTransferCodecs()
	state := filled[core.HandoverState](1)
	var body []byte
	alloctest.CompareFirstCall(t, "encoding", func() { body, _ = frameCodec.Marshal(newStateFrame(state)) })
	alloctest.CompareFirstCall(t, "decoding", func() {
		ev, _ := decode(link.Frame{Kind: uint8(hotrestart.Transfer), Body: body})
		if ev.(*core.LinkMessageReceived).State == nil {
			t.Fatal("the state was not decoded")
		}
	})
}
