package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lemongate/internal/gossip"
)

// ruleChecker is the caller of a single Controller and checks the rules of the service on each of its actions: a request
// that must not run twice never does, a request is answered exactly once and within its budget, and a draining or removed
// backend gets no attempt after the drain grace.
type ruleChecker struct {
	t                *testing.T
	ctl              *Controller
	settings         Settings
	now              time.Duration
	requests         map[RequestID]*requestRecord
	zones            map[string]string        // by backend
	unavailableAt    map[string]time.Duration // clock time at which the Controller was notified, by backend
	attemptsInFlight []RequestID
	answered         int // requests that were answered or whose clients disconnected
}

// requestRecord is the state of a request according to the actions so far.
type requestRecord struct {
	class    Class
	deadline time.Duration // clock time
	attempts int
	backend  string // of the attempt in flight; empty for none
	sentAt   time.Duration
	canceled bool // the attempt in flight
	ended    bool

	mayHaveRunOn   string // backend of the first attempt that may have run; empty for none
	mayHaveRunFrom time.Duration
}

func newRuleChecker(t *testing.T, settings Settings, seed uint64, backends []Backend) *ruleChecker {
	checker := &ruleChecker{
		t: t, ctl: New(settings, seed), settings: settings, requests: map[RequestID]*requestRecord{},
		zones: map[string]string{}, unavailableAt: map[string]time.Duration{},
	}
	for _, b := range backends {
		checker.zones[b.ID] = b.Zone
	}
	checker.handle(&EndpointList{Kind: ListCached, Backends: backends})
	return checker
}

// handle passes an event to the Controller and checks the returned actions.
func (checker *ruleChecker) handle(ev Event) {
	for _, action := range checker.ctl.Handle(checker.now, ev, nil) {
		switch action := action.(type) {
		case StartAttempt:
			checker.checkAttempt(action)
		case Reject:
			r := checker.checkEnd(action.Request)
			neverRan := r.backend == "" && r.mayHaveRunOn == ""
			if r.class.Idempotency != Idempotent && !neverRan {
				checker.t.Fatalf("%v: request of class %s rejected although it may have run, want it failed",
					checker.now, r.class.Name)
			}
		case Fail:
			checker.checkEnd(action.Request)
		case CancelAttempt:
			r := checker.requests[action.Request]
			if r == nil || r.backend == "" || action.Attempt != r.attempts-1 {
				checker.t.Fatalf("%v: canceled attempt %d of request %d, which is not in flight",
					checker.now, action.Attempt, action.Request)
			}
			r.canceled = true
		}
	}
}

// checkAttempt checks that an attempt may start, and records it.
func (checker *ruleChecker) checkAttempt(attempt StartAttempt) {
	r, now := checker.requests[attempt.Request], checker.now
	switch {
	case r == nil || r.ended:
		checker.t.Fatalf("%v: attempt started for request %d, which has ended or is unknown", now, attempt.Request)
	case r.backend != "":
		checker.t.Fatalf("%v: two attempts of request %d in flight", now, attempt.Request)
	case r.attempts >= checker.settings.MaxAttempts:
		checker.t.Fatalf("%v: attempt %d of request %d exceeds the maximum number of attempts",
			now, r.attempts, attempt.Request)
	case checker.zones[attempt.Backend] == "":
		checker.t.Fatalf("%v: attempt at %q, which is in no endpoint list", now, attempt.Backend)
	case r.mayHaveRunOn != "" && r.class.Idempotency == NonIdempotent:
		checker.t.Fatalf("%v: non-idempotent request %d retried although it may have run", now, attempt.Request)
	case r.mayHaveRunOn != "" && r.class.Idempotency == IdempotentByKey && !checker.dropsRepeat(r, attempt.Backend):
		checker.t.Fatalf("%v: request %d with an idempotency key retried outside of its scope or window", now, attempt.Request)
	}
	if at, unavailable := checker.unavailableAt[attempt.Backend]; unavailable && now-at > checker.settings.DrainGrace {
		checker.t.Fatalf("%v: attempt at backend %s, which is unavailable since %v", now, attempt.Backend, at)
	}
	r.attempts++
	r.backend, r.sentAt, r.canceled = attempt.Backend, now, false
	checker.attemptsInFlight = append(checker.attemptsInFlight, attempt.Request)
}

// dropsRepeat reports whether a backend drops a repeat of a request with an idempotency key that may have run. All
// backends of a zone remember the key.
func (checker *ruleChecker) dropsRepeat(r *requestRecord, backend string) bool {
	return checker.zones[r.mayHaveRunOn] == checker.zones[backend] && checker.now-r.mayHaveRunFrom < r.class.IdempotencyWindow
}

// checkEnd checks that a request may be answered without a response of a backend, and records the answer. An answer may
// be late by two timer steps, which are 8 ms.
func (checker *ruleChecker) checkEnd(id RequestID) *requestRecord {
	r := checker.requests[id]
	if r == nil || r.ended {
		checker.t.Fatalf("%v: second answer to request %d, or an answer to an unknown one", checker.now, id)
	}
	if checker.now > r.deadline+8*ms {
		checker.t.Fatalf("%v: late answer to request %d, which was due at %v", checker.now, id, r.deadline)
	}
	r.ended = true
	checker.answered++
	return r
}

// request records a request and passes it to the Controller.
func (checker *ruleChecker) request(request *Request, class Class) *requestRecord {
	r := &requestRecord{class: class, deadline: checker.now + request.Budget}
	checker.requests[request.ID] = r
	checker.handle(request)
	return r
}

// finishAttempt ends the attempt in flight at the given index of attemptsInFlight.
func (checker *ruleChecker) finishAttempt(index int, result Result) {
	id := checker.attemptsInFlight[index]
	checker.attemptsInFlight = slices.Delete(checker.attemptsInFlight, index, index+1)
	r := checker.requests[id]
	ev := &AttemptFinished{
		Request: id, Attempt: r.attempts - 1, Backend: r.backend, Result: result, Latency: checker.now - r.sentAt, Final: r.ended,
	}
	if !result.NeverRan() && r.mayHaveRunOn == "" {
		r.mayHaveRunOn, r.mayHaveRunFrom = r.backend, r.sentAt
	}
	r.backend = ""
	if result == Succeeded && !r.ended {
		r.ended, ev.Final = true, true
		checker.answered++
	}
	checker.handle(ev)
}

// setState changes the state of a backend and notifies the Controller.
func (checker *ruleChecker) setState(b *Backend, state BackendState) {
	b.State = state
	if state == Live {
		delete(checker.unavailableAt, b.ID)
		b.StartedAt = checker.now
	} else {
		checker.unavailableAt[b.ID] = checker.now
	}
	checker.handle(&EndpointList{Kind: ListDelta, Backends: []Backend{*b}})
}

// For random events in random order, the rules of the service hold and each request is answered exactly once.
func TestInvariants(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 1))
		backends := backendList("a", "b", "c", "d", "e", "f")
		checker := newRuleChecker(t, testSettings(), seed, backends)
		failureRate := random.Float64() / 2
		for step := range 4000 {
			checker.now += timerStep
			checker.handle(TimerFired{})
			if step < 3300 && random.IntN(4) > 0 {
				checker.randomRequest(random, RequestID(step))
			}
			checker.randomResults(random, failureRate)
			if random.IntN(150) == 0 {
				b := &backends[random.IntN(len(backends))]
				checker.setState(b, BackendState(random.IntN(3)))
			}
			if random.IntN(20) == 0 {
				data := randomMessage(random, checker.ctl.settings.Epoch, uint32(step), backends)
				if _, ok := gossip.Parse(data); !ok {
					t.Fatal("a random message could not be decoded")
				}
				checker.handle(&PeerMessage{From: random.IntN(3) - 1, Data: data})
			}
		}
		if checker.answered != len(checker.requests) || len(checker.ctl.requests) != 0 {
			t.Fatalf("seed %d: %d answers to %d requests, and %d requests not deleted",
				seed, checker.answered, len(checker.requests), len(checker.ctl.requests))
		}
	}
}

// randomRequest passes a random request; one client in fifty disconnects at once.
func (checker *ruleChecker) randomRequest(random *rand.Rand, id RequestID) {
	class := checker.settings.Classes[random.IntN(3)]
	budget := class.Deadline / time.Duration(1+random.IntN(3))
	r := checker.request(&Request{
		ID: id, Class: class.Name, Plan: checker.settings.Plans[random.IntN(4)].Name, Customer: randomCustomer(random),
		Units: 1, Budget: budget, SetSize: 2,
	}, class)
	if random.IntN(50) == 0 && !r.ended {
		r.ended = true
		checker.handle(&RequestEnded{Request: id})
		checker.answered++
	}
}

func randomCustomer(random *rand.Rand) string { return fmt.Sprint("c", random.IntN(12)) }

// randomResults ends attempts: those past their deadline, canceled ones, and one in twelve of the others.
func (checker *ruleChecker) randomResults(random *rand.Rand, failureRate float64) {
	for i := 0; i < len(checker.attemptsInFlight); i++ {
		r := checker.requests[checker.attemptsInFlight[i]]
		switch {
		case checker.now >= r.deadline:
			checker.finishAttempt(i, TimedOut)
		case r.canceled:
			checker.finishAttempt(i, Canceled)
		case random.IntN(12) > 0:
		case random.Float64() < failureRate:
			checker.finishAttempt(i, Result(random.IntN(int(NotSent)+1)))
		default:
			checker.finishAttempt(i, Succeeded)
		}
	}
}

// randomMessage returns a message of another limiter with random values that gossip.Parse can decode. Half of the
// messages are for the epoch of the receiver, and refer to customers that it may know, with their limiter set, and to its
// backends. The sender restarts after every 500 steps.
func randomMessage(random *rand.Rand, epoch, seq uint32, backends []Backend) []byte {
	m := gossip.Message{
		Epoch: 1 + seq/500, ReceiverEpoch: random.Uint32(), Seq: seq,
		Pressure: randomByte(random), ServingAge: randomByte(random),
	}
	for range random.IntN(4) {
		m.Requests = append(m.Requests, randomTransferRequest(random))
	}
	for range random.IntN(4) {
		m.Grants = append(m.Grants, randomGrant(random))
	}
	for range random.IntN(4) {
		m.Observations = append(m.Observations, gossip.Observation{
			Backend: random.Uint32(), Load: randomByte(random), FailureRate: randomByte(random), Age: randomByte(random),
		})
	}
	if random.IntN(2) == 0 {
		m.ReceiverEpoch = epoch
		for i := range m.Requests {
			m.Requests[i].Customer = hashOf(randomCustomer(random))
			m.Requests[i].Plan, m.Requests[i].FirstLimiter, m.Requests[i].SetSize = uint8(random.IntN(4)), 0, 2
		}
		for i := range m.Grants {
			m.Grants[i].Customer = hashOf(randomCustomer(random))
		}
		for i := range m.Observations {
			m.Observations[i].Backend = gossip.BackendKey(hashOf(backends[random.IntN(len(backends))].ID))
		}
	}
	return m.Append(nil)
}

func randomTransferRequest(random *rand.Rand) gossip.TransferRequest {
	return gossip.TransferRequest{
		Customer: random.Uint32(), Plan: randomByte(random),
		FirstLimiter: randomUint16(random), SetSize: randomUint16(random), Nonce: randomUint16(random),
		QuotaWanted: randomUint16(random), CeilingWanted: randomUint16(random), Consumed: randomUint16(random),
		Demand: randomByte(random), Level: int8(randomByte(random)), Share: randomByte(random),
		SlotsBorrowed: randomByte(random), SlotsWanted: randomByte(random), TotalLevel: randomByte(random),
	}
}

func randomGrant(random *rand.Rand) gossip.Grant {
	return gossip.Grant{
		Customer: random.Uint32(), Nonce: randomUint16(random),
		QuotaUnits: randomUint16(random), CeilingUnits: randomUint16(random), Consumed: randomUint16(random),
		Share: randomByte(random), Level: int8(randomByte(random)), Demand: randomByte(random),
		Slots: randomByte(random), TotalLevel: randomByte(random),
	}
}

func randomByte(random *rand.Rand) uint8 { return uint8(random.IntN(256)) }

func randomUint16(random *rand.Rand) uint16 { return uint16(random.IntN(1 << 16)) }
