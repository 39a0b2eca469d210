package eventloop

import (
	"testing"

	"lemongate/internal/alloctest"
	"lemongate/internal/core"
	"lemongate/internal/hotrestart"
	"lemongate/internal/hotrestart/link"
)

// After prepareTransfer the first state that a process sends or receives costs what later ones do: while it is
// under way no process admits, and every process does each but once.
func TestFirstTransferCostsNoMoreThanLater(t *testing.T) {
	if !alloctest.InFreshProcess(t) {
		return
	}
	prepareTransfer()
	state := filled[core.HandoverState](1)
	var body []byte
	alloctest.CompareFirst(t, "encoding", func() { body, _ = frameCodec.Marshal(newStateFrame(state)) })
	alloctest.CompareFirst(t, "decoding", func() {
		ev, _ := decode(link.Frame{Kind: uint8(hotrestart.Transfer), Body: body})
		if ev.(*core.LinkMessageReceived).State == nil {
			t.Fatal("the state was not decoded")
		}
	})
}
