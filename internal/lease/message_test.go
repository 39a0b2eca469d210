package lease

import (
	"slices"
	"testing"

	"lemongate/internal/gossip"
)

// A message is unchanged after it is encoded and decoded, is not decoded as a gossip message, and is rejected
// if a byte is wrong.
func FuzzParse(f *testing.F) {
	m := Message{
		Kind: Promise, Task: TaskID("trials"), Ballot: Ballot{1 << 30, 1 << 31, 299}, Holder: 298, Incarnation: 1 << 31, HasLease: true,
		Token: 1 << 60, HighestToken: 1<<60 + 1, Payload: 1<<40 + 7,
	}
	datagram := m.Append(nil)
	if got, ok := Parse(datagram); !ok || got != m {
		f.Fatalf("decoded %+v, %v", got, ok)
	}
	if _, ok := gossip.Parse(datagram); ok || len(datagram) > 256 {
		f.Error("datagram decoded as a gossip message, or longer than 256 bytes")
	}
	for i := range datagram {
		changed := slices.Clone(datagram)
		if changed[i]++; IsMessage(changed) {
			if _, ok := Parse(changed); ok {
				f.Errorf("datagram with a wrong byte %d decoded", i)
			}
		}
	}
	f.Add(datagram)
	f.Add([]byte("L"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if m, ok := Parse(data); ok && !slices.Equal(m.Append(nil), data) {
			t.Error("decoded message is encoded to another datagram")
		}
	})
}

// Each task has its own acceptors, and the tasks are spread over all limiters.
func TestAcceptorsOf(t *testing.T) {
	count := map[Limiter]int{}
	for i := range 300 {
		list := AcceptorsOf(TaskID(string(rune('a'+i))), 20, 5)
		if len(list) != 5 {
			t.Fatal(list)
		}
		for _, acceptor := range list {
			count[acceptor]++
		}
	}
	for acceptor, n := range count {
		if n < 40 || n > 120 {
			t.Errorf("limiter %d is an acceptor of %d of 300 tasks, want 40 to 120, with a mean of 75", acceptor, n)
		}
	}
	if len(count) != 20 || len(AcceptorsOf(1, 2, 5)) != 2 || len(AcceptorsOf(1, 1, 5)) != 1 {
		t.Error(count)
	}
}
