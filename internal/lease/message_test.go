package lease

import (
	"slices"
	"testing"

	"lemongate/internal/gossip"
)

// A message comes through unchanged, is not taken for one of the limiters' other messages, and noise is
// not taken for one.
func FuzzParse(f *testing.F) {
	m := Message{
		Kind: Promise, Task: TaskID("trials"), Ballot: Ballot{1 << 30, 1 << 31, 299}, Holder: 298, Incarnation: 1 << 31, HasLease: true,
		Token: 1 << 60, HighestToken: 1<<60 + 1, Payload: 1<<40 + 7,
	}
	datagram := m.Append(nil)
	if got, ok := Parse(datagram); !ok || got != m {
		f.Fatalf("%+v, %v", got, ok)
	}
	if _, ok := gossip.Parse(datagram); ok || len(datagram) > 256 {
		f.Error("taken for a gossip message")
	}
	for i := range datagram {
		changed := slices.Clone(datagram)
		if changed[i]++; IsMessage(changed) {
			if _, ok := Parse(changed); ok {
				f.Errorf("a wrong byte %d is not noticed", i)
			}
		}
	}
	f.Add(datagram)
	f.Add([]byte("L"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if m, ok := Parse(data); ok && !slices.Equal(m.Append(nil), data) {
			t.Error("two datagrams of one message")
		}
	})
}

// Each task has acceptors of its own, spread over the limiters.
func TestAcceptorsOf(t *testing.T) {
	count := map[Limiter]int{}
	for i := range 300 {
		list := AcceptorsOf(TaskID(string(rune('a'+i))), 20, 5)
		if len(list) != 5 {
			t.Fatal(list)
		}
		for _, k := range list {
			count[k]++
		}
	}
	for k, n := range count {
		if n < 40 || n > 120 {
			t.Errorf("limiter %d is an acceptor of %d of 300 tasks, 75 are its share", k, n)
		}
	}
	if len(count) != 20 || len(AcceptorsOf(1, 2, 5)) != 2 || len(AcceptorsOf(1, 1, 5)) != 1 {
		t.Error(count)
	}
}
