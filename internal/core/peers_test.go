package core

import (
	"testing"
	"time"

	"lemongate/internal/gossip"
)

// Datagrams with malformed data or from an unknown sender are counted and dropped.
func TestMalformedDatagrams(t *testing.T) {
	m := newTestMachine(t)
	message := gossip.Message{Epoch: 1, Seq: 1}.Append(nil)
	for _, ev := range []PeerMessageReceived{{-1, message}, {2, message}, {1, nil}, {1, message[:9]}, {1, make([]byte, 300)}} {
		m.Step(time.Hour, &ev)
	}
	m.Step(time.Hour, &PeerMessageReceived{1, message})
	if c := m.Counters(); c.PeerMessagesInvalid != 5 || c.PeerMessagesReceived != 1 {
		t.Errorf("%d invalid, %d valid messages; want 5 and 1", c.PeerMessagesInvalid, c.PeerMessagesReceived)
	}
}
