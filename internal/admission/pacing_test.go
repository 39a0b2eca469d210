package admission

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"lemongate/internal/gossip"
)

// receiver models the rate of messages that a limiter accepts from all others: a token bucket.
type receiver struct {
	tokens     float64
	refilledAt time.Duration
	messages   int // sent to the limiter so far, accepted or not
}

// hasCapacity counts a message and reports whether the bucket has a token for it.
func (r *receiver) hasCapacity(now time.Duration, perSecond, burst float64) bool {
	r.messages++
	r.tokens = min(r.tokens+(now-r.refilledAt).Seconds()*perSecond, burst)
	r.refilledAt = now
	return r.tokens >= 1
}

// No limiter of a large tier is sent more messages by all others together than it accepts, and requests within the
// quotas are still admitted. Pacing per pair of limiters would not be sufficient, as there are many pairs.
func TestMessageRateOfLargeTier(t *testing.T) {
	const (
		limiters  = 80
		duration  = 20 * time.Second
		perSecond = 40
		burst     = 20
		loss      = 0.078
	)
	random := rand.New(rand.NewPCG(7, 7))
	receivers := make([]receiver, limiters)
	var tr *tier
	tr = newTier(limiters, func(_, to int) bool {
		if !receivers[to].hasCapacity(tr.now, perSecond, burst) || random.Float64() < loss {
			return true
		}
		receivers[to].tokens--
		return false
	})
	requests := 0
	for tr.now < duration {
		tr.delay = time.Duration(2+random.IntN(15)) * ms
		tr.step()
		if random.IntN(1000) < 800 { // 200 per second from 160 customers: 1.25 each, with a quota of 2
			requests++
			tr.requestOf(random.IntN(limiters), "small", fmt.Sprint("c", random.IntN(160)))
		}
	}
	for number := range receivers {
		if sent := receivers[number].messages; float64(sent) > perSecond*duration.Seconds() {
			t.Errorf("limiter %d was sent %d messages in %v, more than it accepts", number, sent, duration)
		}
	}
	if tr.forwarded < requests*9/10 {
		t.Errorf("%d of %d requests forwarded, want at least nine tenths", tr.forwarded, requests)
	}
}

// carriesObservationsOnly reports whether a message has neither transfer requests nor grants.
func carriesObservationsOnly(data []byte) bool {
	m, ok := gossip.Parse(data)
	return ok && len(m.Requests)+len(m.Grants) == 0
}

// In a large tier few messages carry only observations in normal operation, yet the failure of a backend is soon known
// to nearly all limiters.
func TestFewMessagesCarryObservationsOnly(t *testing.T) {
	const limiters, duration = 36, 10 * time.Second
	random := rand.New(rand.NewPCG(8, 8))
	tr := newTier(limiters, func(_, _ int) bool { return random.Float64() < 0.05 })
	begin := tr.now
	observationsOnly := 0
	for tr.now < begin+duration {
		tr.step()
		for _, m := range tr.inTransit {
			sentInThisStep := m.at == tr.now+tr.delay
			if sentInThisStep && carriesObservationsOnly(m.data) {
				observationsOnly++
			}
		}
		if random.IntN(3) == 0 {
			tr.requestOf(random.IntN(limiters), "small", fmt.Sprint("c", random.IntN(60)))
		}
	}
	// The pace is 35 messages per second: paceFraction of PeerMessagesPerSecond. At most one in observationPauseIntervals
	// carries observations only, plus a tenth for random variation.
	maxMessages := int(limiters * duration.Seconds() * 35 / observationPauseIntervals * 1.1)
	if observationsOnly > maxMessages || observationsOnly == 0 {
		t.Errorf("%d messages with observations only, want at least one and at most %d", observationsOnly, maxMessages)
	}

	for range 100 { // deliver the older messages in transit
		tr.step()
	}
	ctl := tr.controllers[0]
	tr.handle(0, TimerFired{})
	b := ctl.endpoints.listed[0]
	b.failureRate = 1
	ctl.announce(b, ctl.now)
	ctl.eject(b)
	tr.handle(0, TimerFired{})
	for end := tr.now + 300*ms; tr.now < end; {
		tr.step()
	}
	informed := 0
	for _, other := range tr.controllers {
		if other.endpoints.byID[b.ID].failureRate > peerEjectFailureRate {
			informed++
		}
	}
	if informed < limiters*9/10 {
		t.Errorf("%d of %d limiters have received that a backend went down, want at least nine tenths", informed, limiters)
	}
}

// A limiter that owns many customers and sends many grants still sends its own transfer requests at once, so that
// requests within a quota do not wait behind grants. Its messages with observations only stay within the common pace.
func TestGrantsDoNotDelayTransferRequests(t *testing.T) {
	settings := testSettings()
	settings.Limiters, settings.PeerMessagesPerSecond = 300, 40
	f := newFixture(t, settings, backendList("a", "b", "c", "d")...)
	f.now = time.Hour
	requests, sentAtOnce, observationsOnly := 0, 0, 0
	for i := range 3000 { // 12 s; per second 30 transfer requests received, and 15 requests of customers with other owners
		f.now += timerStep
		f.handle(TimerFired{})
		if i%8 == 0 {
			m := gossip.Message{Epoch: 5, Seq: uint32(i + 1), Requests: []gossip.TransferRequest{{
				Customer: uint32(i), SetSize: 300, Nonce: uint16(i + 1), QuotaWanted: gossip.UnitParts, TotalLevel: gossip.UnknownTotal,
			}}}
			f.handle(&PeerMessage{From: 1 + i%299, Data: m.Append(nil)})
		}
		f.takeActions()
		if i%17 == 0 {
			f.handle(&Request{
				ID: RequestID(i + 1), Class: "read", Plan: "small", Customer: strconv.Itoa(i),
				Units: 1, Budget: time.Second, SetSize: 300,
			})
			requests++
		}
		sentAtOnce += f.grantTransferRequests(uint32(i + 2))
		for _, attempt := range actionsOf[StartAttempt](f.takeActions()) { // also adds an observation to announce
			f.finish(attempt.Request, 0, attempt.Backend, Succeeded, 50*ms)
		}
		for _, send := range actionsOf[SendToPeer](f.takeActions()) {
			if carriesObservationsOnly(send.Data) {
				observationsOnly++
			}
		}
	}
	if sentAtOnce < requests*9/10 {
		t.Errorf("%d of %d transfer requests were sent at once with their request, want at least nine tenths",
			sentAtOnce, requests)
	}
	if observationsOnly > 12*5 {
		t.Errorf("%d messages with observations only in 12 s, beside 45 others per second, want at most 60", observationsOnly)
	}
}

// grantTransferRequests simulates the owners: it grants everything that the messages among the actions request, and
// returns the number of messages with transfer requests.
func (f *fixture) grantTransferRequests(seq uint32) (messages int) {
	for _, send := range actionsOf[SendToPeer](f.actions) {
		m, _ := gossip.Parse(send.Data)
		if len(m.Requests) == 0 {
			continue
		}
		messages++
		reply := gossip.Message{Epoch: 5, ReceiverEpoch: f.ctl.settings.Epoch, Seq: seq}
		for _, request := range m.Requests {
			reply.Grants = append(reply.Grants, gossip.Grant{
				Customer: request.Customer, Nonce: request.Nonce, QuotaUnits: request.QuotaWanted, TotalLevel: 200,
			})
		}
		f.handle(&PeerMessage{From: send.Peer, Data: reply.Append(nil)})
	}
	return messages
}
