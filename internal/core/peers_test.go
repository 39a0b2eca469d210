package core

import (
	"testing"
	"time"

	"lemongate/internal/gossip"
)

// A datagram may hold anything and come from anyone.
func TestMalformedDatagrams(t *testing.T) {
	m := newTestMachine(t)
	message := gossip.Message{Epoch: 1, Seq: 1}.Append(nil)
	for _, ev := range []PeerMessageReceived{{-1, message}, {2, message}, {1, nil}, {1, message[:9]}, {1, make([]byte, 300)}} {
		m.Step(time.Hour, &ev)
	}
	m.Step(time.Hour, &PeerMessageReceived{1, message})
	if c := m.Counters(); c.PeerMessagesInvalid != 5 || c.PeerMessagesReceived != 1 {
		t.Errorf("%d bad, %d good; want 5 and 1", c.PeerMessagesInvalid, c.PeerMessagesReceived)
	}
}
