package admission

import (
	"slices"
	"testing"

	"lemongate/internal/gossip"
)

// Malformed messages and messages from nonexistent limiters are ignored.
func TestInvalidPeerMessages(t *testing.T) {
	f := newFixture(t, testSettings(), backendList("a", "b")...)
	// An empty message, and messages of unknown versions.
	for _, data := range [][]byte{nil, {3}, {2, 0, 0, 0, 0, 0, 0, 0, 0, 0}, {3, 17: 9}, make([]byte, 400)} {
		f.handle(&PeerMessage{From: 1, Data: data})
	}
	valid := gossip.Message{Epoch: 5, Seq: 1, Observations: make([]gossip.Observation, 2)}.Append(nil)
	// Truncated messages, and one with a byte too many.
	for length := range valid {
		f.handle(&PeerMessage{From: 1, Data: valid[:length]})
	}
	f.handle(&PeerMessage{From: 1, Data: append(slices.Clone(valid), 0)})
	f.handle(&PeerMessage{From: 77, Data: gossip.Message{}.Append(nil)})
	f.handle(&PeerMessage{From: -1, Data: gossip.Message{}.Append(nil)})
	for _, p := range f.ctl.gossip.peers {
		if p.known {
			t.Errorf("limiter %d is known after an invalid message", p.number)
		}
	}
	f.handle(&PeerMessage{From: 1, Data: valid})
	if p := f.ctl.gossip.peers[1]; p == nil || !p.known {
		t.Error("limiter 1 is not known after a valid message")
	}
}
