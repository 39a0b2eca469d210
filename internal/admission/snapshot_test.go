package admission

import (
	"reflect"
	"testing"
	"time"
)

// played is a web of gateways in the middle of a day.
func played(gateways int) *web {
	w := newWeb(gateways, func(from, to int) bool { return false })
	for i := range 4000 {
		w.step()
		if i%7 == 0 {
			w.ask(i%gateways, []string{"small", "capped", "free"}[i%3])
		}
	}
	return w
}

// What a Gateway remembers goes over whole: a second snapshot is the first one again, in tiers
// with rights in parts and with homes.
func TestSnapshotWhole(t *testing.T) {
	for _, gateways := range []int{2, 3, 80} {
		w := played(gateways)
		for i := range min(gateways, 3) {
			g := w.gates[i]
			for id := range g.requests {
				g.Handle(g.now, &RequestEnded{Request: id}, nil)
			}
			first, err := g.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			h, err := Resume(g.settings, 9, first)
			if err != nil {
				t.Fatal(err)
			}
			second, err := h.Snapshot()
			if err != nil || string(first) != string(second) {
				t.Errorf("%d gateways, number %d: %d bytes, then %d, %v", gateways, i, len(first), len(second), err)
			}
			if h.settings.Epoch != g.settings.Epoch || len(h.customers.byKey) != len(g.customers.byKey) || len(h.customers.order) != len(h.customers.byKey) ||
				len(h.endpoints.listed) != len(g.endpoints.listed) || len(h.endpoints.byGossipKey) != len(g.endpoints.byGossipKey) || len(h.gossip.queued) != len(g.gossip.queued) {
				t.Errorf("%d gateways, number %d: built otherwise", gateways, i)
			}
			other := g.settings
			other.Plans = append([]Plan{}, other.Plans...)
			other.Plans[0].Rate *= 2
			if _, err := Resume(other, 9, first); err == nil {
				t.Error("rights cut by other settings are taken over")
			}
		}
	}
	g := New(settings(), 1)
	for _, bad := range []string{"", "{}", "null", `{"Print":1,"Gateway":null}`, `{"Gateway":{"ledger":7}}`} {
		if _, err := Resume(settings(), 1, []byte(bad)); err == nil {
			t.Errorf("%q is taken for a snapshot", bad)
		}
	}
	if _, err := g.Snapshot(); err == nil {
		t.Error("a snapshot of nothing")
	}
}

// A gateway that took over and one that nothing happened to say the same to the same peer,
// and hold the same of each store, ever after.
func TestResumeGoesOn(t *testing.T) {
	w := played(3)
	g := w.gates[0]
	for id := range g.requests {
		g.Handle(g.now, &RequestEnded{Request: id}, nil)
	}
	data, err := g.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	h, err := Resume(g.settings, 5, data)
	if err != nil {
		t.Fatal(err)
	}
	g.random, h.random = New(g.settings, 3).random, New(g.settings, 3).random
	now := g.now
	for i := range 600 {
		now += 10 * time.Millisecond
		for _, ev := range []Event{
			TimerFired{},
			&Request{ID: RequestID(1e9 + i), Class: "read", Plan: "small", Customer: "x", Units: 1, Budget: time.Second, SetSize: 3},
		} {
			a, b := g.Handle(now, ev, nil), h.Handle(now, ev, nil)
			var wake SetTimer
			strip := func(list []Action) (kept []Action) {
				for _, x := range list {
					if reflect.TypeOf(x) != reflect.TypeOf(wake) {
						kept = append(kept, x)
					}
				}
				return kept
			}
			if !reflect.DeepEqual(strip(a), strip(b)) {
				t.Fatalf("after %d: %v, %v", i, a, b)
			}
		}
	}
}

// What another process has out counts at its backend and among its customer's places, until
// it ends; its client's next req waits for the place.
func TestAdopted(t *testing.T) {
	set := settings()
	set.Limiters, set.GossipEnabled = 1, false
	b := newBench(t, set, fleet("b1", "b2")...)
	for i := range 2 {
		b.do(&AttemptAdopted{
			Request: Request{ID: RequestID(1000 + i), Class: "read", Plan: "open", Customer: "x", Units: 1, SetSize: 1}, Backend: "b1",
		})
	}
	if n := len(b.g.endpoints.byID["b1"].open); n != 2 {
		t.Errorf("%d attempts out", n)
	}
	b.take()
	id := b.ask("read", "open", "x")
	if s := only[StartAttempt](b.acts); len(s) > 0 {
		t.Error("a third place of two")
	}
	b.take()
	// A further attempt of one takes the place of its first.
	b.do(&AttemptAdopted{Request: Request{ID: 1000, Class: "read", Plan: "open", Customer: "x", Units: 1, SetSize: 1}, Attempt: 1, Backend: "b2"})
	b.do(&AttemptFinished{Request: 1000, Attempt: 0, Backend: "b1", Result: Unreachable})
	if len(b.g.endpoints.byID["b1"].open) != 1 || len(b.g.endpoints.byID["b2"].open) != 1 {
		t.Error("a further attempt did not take the place of the first")
	}
	b.do(&AttemptFinished{Request: 1000, Attempt: 1, Backend: "b2", Result: Succeeded, Latency: ms})
	b.do(&AttemptFinished{Request: 1001, Attempt: 0, Backend: "b1", Result: Canceled, Final: true})
	if b.g.requests[1000] != nil || b.g.requests[1001] != nil || b.g.endpoints.byID["b1"].failureRate > 0 {
		t.Error("not over")
	}
	b.pass(500 * ms)
	b.take()
	if b.ask("read", "open", "x"); len(only[StartAttempt](b.acts)) != 1 {
		t.Errorf("the place is not free again, nor for %d", id)
	}
}

// A process that takes back what another one held counts as started anew: it does not grant
// what that one may have granted, and its peers see a new epoch.
func TestRenewed(t *testing.T) {
	w := played(3)
	g := w.gates[0]
	before := g.settings.Epoch
	g.Handle(g.now, EpochRenewed{Epoch: before + 9}, nil)
	if g.settings.Epoch != before+9 || g.customers.ledger.Epoch != before+9 || len(g.customers.byKey) > len(g.requests) {
		t.Errorf("epoch %d, customers %d", g.settings.Epoch, len(g.customers.byKey))
	}
	for range 500 {
		w.step()
		w.ask(0, "small")
	}
	if p := w.gates[1].gossip.peers[0]; p.epoch != before+9 {
		t.Errorf("the peers still see epoch %d", p.epoch)
	}
}

// Whatever is given for a snapshot, it is refused or makes a Gateway that decides.
func FuzzResume(f *testing.F) {
	g := played(2).gates[0]
	data, err := g.Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte(`{"Print":1,"Gateway":{"classes":[null]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		h, err := Resume(g.settings, 1, data)
		if err != nil {
			return
		}
		h.Handle(h.now, TimerFired{}, nil)
		h.Handle(h.now, &Request{ID: 1 << 40, Class: "read", Plan: "small", Customer: "x", Units: 1, Budget: time.Second, SetSize: 2}, nil)
	})
}
