package admission

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// watcher checks rules 1 to 3 on every action of one gateway.
type watcher struct {
	t        *testing.T
	g        *Controller
	set      Settings
	now      time.Duration
	requests map[RequestID]*watched
	stopped  map[string]time.Duration // when the gateway was told that a backend drains or is gone
	zones    map[string]string
	out      []RequestID
	answers  int
}

type watched struct {
	class    Class
	deadline time.Duration
	attempts int
	backend  string // of the attempt that is out
	sent     time.Duration
	canceled bool
	maybe    string // where it may have run first
	maybeAt  time.Duration
	over     bool
}

func (w *watcher) do(ev Event) {
	for _, a := range w.g.Handle(w.now, ev, nil) {
		switch a := a.(type) {
		case StartAttempt:
			w.send(a)
		case Reject:
			r := w.final(a.Request)
			lawful := r.class.Idempotency == Idempotent || r.backend == "" && r.maybe == ""
			if !lawful {
				w.t.Fatalf("%v: %s refused though it may have run", w.now, r.class.Name)
			}
		case Fail:
			w.final(a.Request)
		case CancelAttempt:
			r := w.requests[a.Request]
			if r == nil || r.backend == "" || a.Attempt != r.attempts-1 {
				w.t.Fatalf("%v: canceled attempt %d of %d, which is not out", w.now, a.Attempt, a.Request)
			}
			r.canceled = true
		}
	}
}

func (w *watcher) send(a StartAttempt) {
	r := w.requests[a.Request]
	switch {
	case r == nil || r.over:
		w.t.Fatalf("%v: attempt for %d after its end", w.now, a.Request)
	case r.backend != "":
		w.t.Fatalf("%v: two attempts out for %d", w.now, a.Request)
	case r.attempts >= w.set.MaxAttempts:
		w.t.Fatalf("%v: attempt %d for %d", w.now, r.attempts, a.Request)
	case w.zones[a.Backend] == "":
		w.t.Fatalf("%v: sent to %q, which no list has named", w.now, a.Backend)
	case r.maybe != "" && r.class.Idempotency == NonIdempotent:
		w.t.Fatalf("%v: unsafe request %d sent again", w.now, a.Request)
	case r.maybe != "" && r.class.Idempotency == IdempotentByKey &&
		(w.zones[r.maybe] != w.zones[a.Backend] || w.now-r.maybeAt >= r.class.IdempotencyWindow):
		w.t.Fatalf("%v: keyed request %d sent out of its group or window", w.now, a.Request)
	}
	if told, is := w.stopped[a.Backend]; is && w.now-told > w.set.DrainGrace {
		w.t.Fatalf("%v: sent to %s, told to drain at %v", w.now, a.Backend, told)
	}
	r.attempts++
	r.backend, r.sent, r.canceled = a.Backend, w.now, false
	w.out = append(w.out, a.Request)
}

func (w *watcher) final(id RequestID) *watched {
	r := w.requests[id]
	if r == nil || r.over {
		w.t.Fatalf("%v: second answer for %d", w.now, id)
	}
	if w.now > r.deadline+8*ms {
		w.t.Fatalf("%v: answer for %d, due at %v", w.now, id, r.deadline)
	}
	r.over = true
	w.answers++
	return r
}

// answer ends one attempt that is out.
func (w *watcher) answer(i int, result Result) {
	id := w.out[i]
	w.out = append(w.out[:i], w.out[i+1:]...)
	r := w.requests[id]
	ev := &AttemptFinished{Request: id, Attempt: r.attempts - 1, Backend: r.backend, Result: result, Latency: w.now - r.sent, Final: r.over}
	if !result.NeverRan() && r.maybe == "" {
		r.maybe, r.maybeAt = r.backend, r.sent
	}
	r.backend = ""
	if result == Succeeded && !r.over {
		r.over, ev.Final = true, true
		w.answers++
	}
	w.do(ev)
}

// Whatever lawful events come, in whatever order, the rules are kept and
// every request ends once.
func TestInvariants(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 1))
		set := settings()
		w := &watcher{t: t, g: New(set, seed), set: set, requests: map[RequestID]*watched{},
			stopped: map[string]time.Duration{}, zones: map[string]string{}}
		list := fleet("a", "b", "c", "d", "e", "f")
		for _, b := range list {
			w.zones[b.ID] = b.Zone
		}
		w.do(&EndpointList{Kind: ListCached, Backends: list})
		bad := random.Float64()
		for step := range 4000 {
			w.now += 4 * ms
			w.do(TimerFired{})
			if id := RequestID(step); step < 3300 && random.IntN(4) > 0 {
				class := set.Classes[random.IntN(3)]
				budget := class.Deadline / time.Duration(1+random.IntN(3))
				w.requests[id] = &watched{class: class, deadline: w.now + budget}
				w.do(&Request{ID: id, Class: class.Name, Plan: set.Plans[random.IntN(4)].Name,
					Customer: fmt.Sprint("c", random.IntN(12)), Units: 1, Budget: budget, SetSize: 2})
				if random.IntN(50) == 0 && !w.requests[id].over {
					w.requests[id].over = true
					w.do(&RequestEnded{Request: id})
					w.answers++
				}
			}
			for i := 0; i < len(w.out); i++ {
				r := w.requests[w.out[i]]
				switch {
				case w.now >= r.deadline:
					w.answer(i, TimedOut)
				case r.canceled:
					w.answer(i, Canceled)
				case random.IntN(12) > 0:
				case random.Float64() < bad/2:
					w.answer(i, Result(random.IntN(int(NotSent)+1)))
				default:
					w.answer(i, Succeeded)
				}
			}
			if random.IntN(150) == 0 {
				b := &list[random.IntN(len(list))]
				b.State = BackendState(random.IntN(3))
				if delete(w.stopped, b.ID); b.State != Live {
					w.stopped[b.ID] = w.now
				} else {
					b.StartedAt = w.now
				}
				w.do(&EndpointList{Kind: ListDelta, Backends: []Backend{*b}})
			}
			if random.IntN(20) == 0 {
				asks, answers, sights := random.IntN(4), random.IntN(4), random.IntN(4)
				data := make([]byte, 18+22*asks+17*answers+5*sights)
				for i := range data {
					data[i] = byte(random.IntN(256))
				}
				binary.BigEndian.PutUint32(data[9:], uint32(step))
				copy(data[15:], []byte{byte(asks), byte(answers), byte(sights)})
				if data[0] = 3; random.IntN(2) == 0 { // to this life, of a customer that it has
					binary.BigEndian.PutUint32(data[5:], w.g.settings.Epoch)
					for i := range asks + answers {
						at := 18 + 22*min(i, asks) + 17*max(i-asks, 0)
						binary.BigEndian.PutUint32(data[at:], hashOf(fmt.Sprint("c", random.IntN(12))))
						if i < asks { // of the set that it has
							copy(data[at+4:], []byte{byte(random.IntN(4)), 0, 0, 2})
						}
					}
				}
				w.do(&PeerMessage{From: random.IntN(3) - 1, Data: data})
			}
		}
		if w.answers != len(w.requests) || len(w.g.requests) != 0 {
			t.Fatalf("seed %d: %d answers for %d requests, %d remembered", seed, w.answers, len(w.requests), len(w.g.requests))
		}
	}
}
