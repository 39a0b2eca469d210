package rollingrestart

import (
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

// An encoded message is decoded to the original message, and a datagram with a wrong byte is rejected.
func FuzzParse(f *testing.F) {
	m := Message{Kind: SlotGrant, Nonce: 1 << 31, Token: 1 << 60, ValidFor: 30 * time.Second, HasGrant: true, Released: 299, Restarting: []Limiter{0, 298}}
	datagram := m.Append(nil)
	if got, ok := Parse(datagram); !ok || !reflect.DeepEqual(got, m) {
		f.Fatalf("Parse of the encoded message: got %+v, %v, want the original message and true", got, ok)
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
	f.Add(Message{Kind: SlotRequest}.Append(nil))
	f.Fuzz(func(t *testing.T, data []byte) {
		if m, ok := Parse(data); ok && !slices.Equal(m.Append(nil), data) {
			t.Error("the message decoded from a datagram is encoded to other bytes, want those of the datagram")
		}
	})
}

// A payload is decoded to the limiters that were encoded in it, and each payload is greater than the one before.
func TestPayload(t *testing.T) {
	payload := uint64(0)
	for _, restarting := range [][]Limiter{{5}, {5, 0, 510}, {1, 2, 3, 4}, nil, {MaxLimiters}} {
		before := payload
		payload = nextPayload(payload, restarting)
		if payload <= before || !slices.Equal(DecodePayload(payload), restarting) {
			t.Errorf("limiters %v: payload %x after %x is decoded to %v, want the same limiters and a greater payload", restarting, payload, before, DecodePayload(payload))
		}
	}
}

// The simulated tier. Coordinators are replaced and continue from the payload; messages are lost, delayed and
// duplicated; limiters with a grant go down for a random time and start again without state.
const (
	simulatedLimiters      = 6
	simulatedSlots         = 2
	simulatedGrantDuration = 3 * time.Second
	coordinatorAddress     = 9 // sender of the coordinator's messages; no limiter has this number
)

type simulation struct {
	random       *rand.Rand
	now          time.Duration
	inTransit    []sentMessage
	requesters   []Requester
	downUntil    []time.Duration // by limiter; 0 for up
	epoch        uint32
	coordinator  *Coordinator
	token        uint64
	payload      uint64 // the payload that a quorum has accepted
	grantedSteps int    // how often a limiter had a grant, or went down, at the end of its step
}

type sentMessage struct {
	arrivesAt time.Duration
	from, to  Limiter
	message   Message
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 5)), now: time.Hour, epoch: 100, token: 1,
		payload:    uint64(1) << sequenceShift, // as after an earlier coordinator
		requesters: make([]Requester, simulatedLimiters), downUntil: make([]time.Duration, simulatedLimiters),
	}
	for i := range s.requesters {
		s.requesters[i] = NewRequester(s.epoch)
	}
	s.newCoordinator()
	return s
}

func (s *simulation) newCoordinator() {
	s.coordinator = NewCoordinator(s.token, s.payload, simulatedSlots, simulatedGrantDuration, s.now)
}

// send sends one or two copies of a message. Each copy may be lost, and may arrive late.
func (s *simulation) send(from, to Limiter, m Message) {
	for range 1 + s.random.IntN(2)*s.random.IntN(2) {
		if s.random.Float64() < 0.2 {
			continue
		}
		delay := time.Duration(s.random.Int64N(int64(60 * time.Millisecond)))
		if s.random.IntN(10) == 0 {
			delay = time.Duration(s.random.Int64N(int64(simulatedGrantDuration)))
		}
		s.inTransit = append(s.inTransit, sentMessage{s.now + delay, from, to, m})
	}
}

func (s *simulation) deliver() {
	for i := 0; i < len(s.inTransit); i++ {
		m := s.inTransit[i]
		if m.arrivesAt > s.now {
			continue
		}
		s.inTransit = slices.Delete(s.inTransit, i, i+1)
		i--
		s.receive(m)
	}
}

func (s *simulation) receive(m sentMessage) {
	switch {
	case m.message.Kind == SlotRequest:
		s.coordinator.HandleRequest(s.now, m.from, m.message.Nonce)
	case m.message.Kind == StatusReply:
		s.coordinator.HandleReply(m.from, m.message)
	case s.downUntil[m.to] > 0:
	case m.message.Kind == SlotGrant:
		isLast := func([]Limiter) bool { return s.random.IntN(5) == 0 }
		s.requesters[m.to].HandleGrant(s.now, m.message, 0.01, isLast)
	case m.message.Kind == StatusQuery:
		s.send(m.to, m.from, s.requesters[m.to].HandleQuery(s.now, m.message, true))
	}
}

func (s *simulation) tickCoordinator() {
	if s.random.IntN(150) == 0 {
		s.token++
		s.newCoordinator()
	}
	accepted := s.coordinator.Payload() == s.payload
	if !accepted && s.random.IntN(3) == 0 {
		s.payload, accepted = s.coordinator.Payload(), true
	}
	out, _ := s.coordinator.Tick(s.now, accepted)
	for _, e := range out {
		s.send(coordinatorAddress, e.To, e.Message)
	}
}

// tickLimiter runs a step of one limiter, and reports whether it has a grant or is down.
func (s *simulation) tickLimiter(i int) bool {
	if s.downUntil[i] > 0 {
		if s.now < s.downUntil[i] {
			return true
		}
		s.epoch++ // it has restarted without state
		s.requesters[i], s.downUntil[i] = NewRequester(s.epoch<<8), 0
		return false
	}
	r := &s.requesters[i]
	_, granted, wanted, _ := r.Grant(s.now)
	switch {
	case granted && s.random.IntN(40) == 0:
		s.downUntil[i] = s.now + time.Duration(s.random.Int64N(int64(2*simulatedGrantDuration)))
	case granted && s.random.IntN(100) == 0:
		r.SetWanted(false)
	case !wanted && s.random.IntN(30) == 0:
		r.SetWanted(true)
	}
	if m, send, _ := r.Tick(s.now); send {
		s.send(Limiter(i), 0, m)
	}
	_, granted, _, _ = r.Grant(s.now)
	if granted || s.downUntil[i] > 0 {
		s.grantedSteps++
		return true
	}
	return false
}

// At no time do more limiters than there are slots have a grant or restart under one. Each seed runs for 60 s of
// simulated time.
func TestNeverMoreThanMaxConcurrent(t *testing.T) {
	grantedSteps := 0
	for seed := range uint64(300) {
		s := newSimulation(seed)
		for end := s.now + 60*time.Second; s.now < end; s.now += 20 * time.Millisecond {
			s.deliver()
			s.tickCoordinator()
			restarting := 0
			for i := range s.requesters {
				if s.tickLimiter(i) {
					restarting++
				}
			}
			if restarting > simulatedSlots {
				t.Fatalf("seed %d, %v: %d limiters have a grant or are down, want no more than there are slots", seed, s.now-time.Hour, restarting)
			}
		}
		grantedSteps += s.grantedSteps
	}
	if grantedSteps < 100_000 {
		t.Errorf("limiters had a grant or went down in %d steps, want at least 100000", grantedSteps)
	}
	t.Logf("limiters had a grant or went down in %d steps", grantedSteps)
}
