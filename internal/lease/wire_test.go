package lease

import (
	"slices"
	"testing"

	"lemongate/internal/gossip"
)

// A message goes over as it is, is none of the limiters' other messages, and noise is none.
func FuzzParse(f *testing.F) {
	m := Message{
		Kind: Promise, Task: TaskID("trials"), Ballot: Ballot{1 << 30, 1 << 31, 299}, Holder: 298, Incarnation: 1 << 31, HasLease: true,
		Token: 1 << 60, HighestToken: 1<<60 + 1, Payload: 1<<40 + 7,
	}
	whole := m.Append(nil)
	if got, ok := Parse(whole); !ok || got != m {
		f.Fatalf("%+v, %v", got, ok)
	}
	if _, ok := gossip.Parse(whole); ok || len(whole) > 256 {
		f.Error("taken for another message")
	}
	for i := range whole {
		bad := slices.Clone(whole)
		if bad[i]++; IsMessage(bad) {
			if _, ok := Parse(bad); ok {
				f.Errorf("a wrong byte %d is not seen", i)
			}
		}
	}
	f.Add(whole)
	f.Add([]byte("L"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if m, ok := Parse(data); ok && !slices.Equal(m.Append(nil), data) {
			t.Error("two forms of one message")
		}
	})
}

// Each task has keepers of its own, and all limiters agree on them.
func TestKeepersOf(t *testing.T) {
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
			t.Errorf("limiter %d keeps %d of 300 tasks, 75 are its part", k, n)
		}
	}
	if len(count) != 20 || len(AcceptorsOf(1, 2, 5)) != 2 || len(AcceptorsOf(1, 1, 5)) != 1 {
		t.Error(count)
	}
}
