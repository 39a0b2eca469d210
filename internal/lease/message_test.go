package lease

import (
	"slices"
	"testing"

	"lemongate/internal/gossip"
)

// An encoded message is decoded to the original message. It is not decoded as a gossip message, and is rejected if
// a byte is wrong.
func FuzzParse(f *testing.F) {
	m := Message{
		Kind: Promise, Task: TaskID("trials"), Ballot: Ballot{1 << 30, 1 << 31, 299}, Holder: 298, HolderEpoch: 1 << 31, HasLease: true,
		Token: 1 << 60, HighestToken: 1<<60 + 1, Payload: 1<<40 + 7,
	}
	datagram := m.Append(nil)
	if got, ok := Parse(datagram); !ok || got != m {
		f.Fatalf("Parse of the encoded message: got %+v, %v, want the original message and true", got, ok)
	}
	if _, ok := gossip.Parse(datagram); ok || len(datagram) > 256 {
		f.Error("encoded message is decoded by gossip.Parse, or is longer than 256 bytes, want neither")
	}
	for i := range datagram {
		changed := slices.Clone(datagram)
		if changed[i]++; IsMessage(changed) {
			if _, ok := Parse(changed); ok {
				f.Errorf("datagram with a wrong byte %d was decoded, want it to be rejected", i)
			}
		}
	}
	f.Add(datagram)
	f.Add([]byte("L"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if m, ok := Parse(data); ok && !slices.Equal(m.Append(nil), data) {
			t.Error("the message decoded from a datagram is encoded to other bytes, want those of the datagram")
		}
	})
}

// The acceptors of tasks are spread over all limiters. If there are fewer limiters than acceptors are wanted, all
// limiters are acceptors.
func TestAcceptorsOf(t *testing.T) {
	taskCounts := map[Limiter]int{}
	for i := range 300 {
		acceptors := AcceptorsOf(TaskID(string(rune('a'+i))), 20, 5)
		if len(acceptors) != 5 {
			t.Fatal(acceptors)
		}
		for _, acceptor := range acceptors {
			taskCounts[acceptor]++
		}
	}
	for acceptor, n := range taskCounts {
		if n < 40 || n > 120 {
			t.Errorf("limiter %d is an acceptor of %d of 300 tasks, want 40 to 120, with a mean of 75", acceptor, n)
		}
	}
	if len(taskCounts) != 20 || len(AcceptorsOf(1, 2, 5)) != 2 || len(AcceptorsOf(1, 1, 5)) != 1 {
		t.Error(taskCounts)
	}
}
