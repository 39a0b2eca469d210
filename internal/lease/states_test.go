package lease

import (
	"fmt"
	"hash/fnv"
	"os"
	"slices"
	"strings"
	"testing"
	"time"
)

// state is one state of a few acceptors and two proposers, with the messages in transit.
type state struct {
	now       time.Duration
	acceptors []Acceptor
	proposers [2]Proposer
	inTransit []stateMessage
	restarts  int    // of acceptors so far
	token     uint64 // of the last lease
	holder    int    // of the last lease, an index in proposers; -1 for none so far
}

type stateMessage struct {
	from, to Limiter
	message  Message
}

func (s *state) clone() *state {
	c := *s
	c.inTransit, c.acceptors = slices.Clone(s.inTransit), slices.Clone(s.acceptors)
	for i := range c.acceptors {
		c.acceptors[i].replied = slices.Clone(s.acceptors[i].replied)
		c.acceptors[i].repliedAcceptors = slices.Clone(s.acceptors[i].repliedAcceptors)
	}
	for i := range c.proposers {
		c.proposers[i].votes = slices.Clone(s.proposers[i].votes)
	}
	return &c
}

// TestReachableStates explores all states that can be reached within bounds: messages arrive in every order, are
// late or lost, time passes and an acceptor restarts without state. At most one proposer holds the lease in any
// of them, and each new lease has a greater token. LEMONGATE_LONG=1 adds the larger explorations.
func TestReachableStates(t *testing.T) {
	for _, b := range []bounds{
		{acceptors: 3, steps: 2, inTransit: 3},
		{acceptors: 5, steps: 2, inTransit: 3},
		{acceptors: 3, steps: 3, inTransit: 6, late: 1, restarts: 1, limit: 20_000},
		{acceptors: 3, steps: 3, inTransit: 3, long: true},
		{acceptors: 3, steps: 3, inTransit: 3, late: 1, long: true},
		{acceptors: 3, steps: 3, inTransit: 3, restarts: 1, long: true},
		{acceptors: 5, steps: 2, inTransit: 4, long: true},
	} {
		if b.long && os.Getenv("LEMONGATE_LONG") == "" {
			continue
		}
		e := newExplorer(t, b)
		e.explore()
		t.Logf("%+v: %d states, complete: %v, the lease held after %d steps", b, len(e.seen), e.complete, e.held)
		if e.held < 50 || e.complete != (b.limit == 0) {
			t.Errorf("%+v: the lease was held after %d steps, want at least 50; complete: %v, want true unless a limit is set", b, e.held, e.complete)
		}
	}
}

// bounds bound an exploration.
type bounds struct {
	acceptors int
	steps     int // of time, each timeStep long
	inTransit int // messages in transit at once; further ones are lost
	late      int // messages that stay in transit when time passes
	restarts  int // of acceptors, which lose their state
	limit     int // of states explored, depth first; 0 for none

	long bool // only with LEMONGATE_LONG
}

const (
	timeStep      = leaseDuration / 2
	firstProposer = 10 // number of the first proposer; acceptors are numbered from 0
)

// explorer explores the states that can be reached, depth first.
type explorer struct {
	t      *testing.T
	bounds bounds
	others []Limiter // numbers recorded in each acceptor as those that have replied, as many as hasRecovered requires

	seen       map[uint64]bool // by hash
	unexplored []*state
	held       int  // steps that lead to a state in which the lease is held
	complete   bool // the limit was not reached
}

func newExplorer(t *testing.T, b bounds) *explorer {
	others := []Limiter{7, 8, 9}[:b.acceptors-b.acceptors/2-1+1]
	return &explorer{t: t, bounds: b, others: others, seen: map[uint64]bool{}, complete: true}
}

func (e *explorer) config(self Limiter, epoch uint32) Config {
	acceptors := make([]Limiter, e.bounds.acceptors)
	for i := range acceptors {
		acceptors[i] = Limiter(i)
	}
	return Config{Self: self, Epoch: epoch, Acceptors: acceptors, Duration: leaseDuration, MinToken: 1}
}

// start returns a state in which all acceptors are active and two proposers want the lease.
func (e *explorer) start() *state {
	s := &state{holder: -1, acceptors: make([]Acceptor, e.bounds.acceptors)}
	for i := range s.acceptors {
		a := NewAcceptor(e.config(Limiter(i), 1), -leaseDuration)
		a.replied, a.repliedAcceptors = e.others, e.others
		s.acceptors[i] = a
	}
	for i := range s.proposers {
		s.proposers[i] = NewProposer(e.config(Limiter(firstProposer+i), 1))
		s.proposers[i].SetWanted(0, true, 0)
	}
	return s
}

func (e *explorer) explore() {
	e.unexplored = []*state{e.start()}
	for len(e.unexplored) > 0 {
		s := e.unexplored[len(e.unexplored)-1]
		e.unexplored = e.unexplored[:len(e.unexplored)-1]
		for i := range s.inTransit { // a message that is never delivered stays in transit or is lost
			e.deliver(s.clone(), i)
		}
		if s.now < time.Duration(e.bounds.steps)*timeStep {
			e.advanceTime(s.clone())
		}
		if s.restarts < e.bounds.restarts {
			for i := range s.acceptors {
				e.restart(s.clone(), i)
			}
		}
	}
}

// deliver delivers a message that is in transit.
func (e *explorer) deliver(s *state, index int) {
	m := s.inTransit[index]
	s.inTransit = slices.Delete(s.inTransit, index, index+1)
	if int(m.to) < e.bounds.acceptors {
		if reply, ok := s.acceptors[m.to].HandleMessage(s.now, m.from, m.message); ok {
			e.send(s, m.to, []Envelope{{m.from, reply}})
		}
	} else {
		e.send(s, m.to, s.proposers[m.to-firstProposer].HandleMessage(s.now, m.from, m.message, 0.5))
	}
	e.add(s)
}

// advanceTime advances time by a step: messages beyond bounds.late are lost, and both proposers do what is due.
func (e *explorer) advanceTime(s *state) {
	s.now += timeStep
	if lost := len(s.inTransit) - e.bounds.late; lost > 0 {
		s.inTransit = s.inTransit[lost:]
	}
	for i := range s.proposers {
		out, _ := s.proposers[i].Tick(s.now, 0.5)
		e.send(s, Limiter(firstProposer+i), out)
	}
	e.add(s)
}

// restart starts an acceptor without state except the greatest token, which it learns at once.
func (e *explorer) restart(s *state, index int) {
	s.restarts++
	a := NewAcceptor(e.config(Limiter(index), 2), s.now)
	a.highestToken, a.repliedAcceptors = s.acceptors[index].highestToken, e.others
	s.acceptors[index] = a
	e.add(s)
}

func (e *explorer) send(s *state, from Limiter, out []Envelope) {
	for _, envelope := range out {
		if len(s.inTransit) < e.bounds.inTransit {
			s.inTransit = append(s.inTransit, stateMessage{from, envelope.To, envelope.Message})
		}
	}
}

// add checks a state, and adds it to the unexplored ones if it is new.
func (e *explorer) add(s *state) {
	slices.SortFunc(s.inTransit, func(a, b stateMessage) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
	s.inTransit = slices.Compact(s.inTransit)
	e.check(s)
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%v", *s) // never fails
	key := hash.Sum64()
	switch {
	case e.seen[key]:
	case e.bounds.limit > 0 && len(e.seen) >= e.bounds.limit:
		e.complete = false
	default:
		e.seen[key] = true
		e.unexplored = append(e.unexplored, s)
	}
}

// check checks that at most one proposer holds the lease, and that each new lease has a greater token.
func (e *explorer) check(s *state) {
	holder := -1
	for i := range s.proposers {
		token, _, ok := s.proposers[i].Holds(s.now)
		if !ok {
			continue
		}
		if holder >= 0 {
			e.t.Fatalf("both proposers hold the lease: %+v", *s)
		}
		holder = i
		if token < s.token || token == s.token && s.holder != i {
			e.t.Fatalf("token %d of proposer %d after token %d of proposer %d, want a greater one: %+v", token, i, s.token, s.holder, *s)
		}
		s.token, s.holder = token, i
		e.held++
	}
}
