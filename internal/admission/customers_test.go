package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lemongate/internal/gossip"
)

// A request over quota is rejected at once. Its Retry-After is the time until the quota has refilled.
func TestOverQuotaIsRejectedWithRetryAfter(t *testing.T) {
	settings := testSettings()
	settings.Limiters, settings.GossipEnabled = 1, false
	f := newFixture(t, settings, backendList("a", "b", "c", "d")...)
	for range 8 {
		id := f.request("read", "small", "x")
		f.finish(id, 0, f.attemptOf(id).Backend, Succeeded, 10*ms)
	}
	f.takeActions()
	f.request("read", "small", "x")
	rejects := actionsOf[Reject](f.takeActions())
	if len(rejects) != 1 || rejects[0].RetryAfter != 500*ms {
		t.Fatalf("ninth request with a quota of 8 units: %v, want one rejection with Retry-After 500ms", rejects)
	}
	f.now += 500 * ms
	f.attemptOf(f.request("read", "small", "x"))
}

// A plan with MaxConcurrent admits that many concurrent attempts, and a freed slot is used again.
func TestMaxConcurrentLimitsSlots(t *testing.T) {
	settings := testSettings()
	settings.Limiters, settings.GossipEnabled = 1, false
	f := newFixture(t, settings, backendList("a", "b", "c")...)
	first := f.request("read", "concurrent", "x")
	f.request("read", "concurrent", "x")
	backend := f.attemptOf(first).Backend
	f.takeActions()
	f.request("read", "concurrent", "x")
	if len(actionsOf[Reject](f.takeActions())) != 1 {
		t.Fatal("a third attempt was not rejected on a plan with two slots")
	}
	f.finish(first, 0, backend, Succeeded, 10*ms)
	f.attemptOf(f.request("read", "concurrent", "x"))
}

// Each limiter admits at most its allocation of a ceiling. At its start it admits less, as it assumes that the burst is
// spent.
func TestCeilingOfOneLimiter(t *testing.T) {
	f := newFixture(t, testSettings(), backendList("a", "b", "c")...)
	forwarded := 0
	for f.now < 10*time.Second {
		f.advance(20 * ms)
		f.request("read", "capped", "x")
		for _, attempt := range actionsOf[StartAttempt](f.takeActions()) {
			forwarded++
			f.finish(attempt.Request, 0, attempt.Backend, Succeeded, 5*ms)
		}
	}
	if limit := 10*10/2 + 20/2; forwarded > limit || forwarded < limit/2 { // half of what the ceiling allows in 10 s
		t.Errorf("%d requests forwarded in 10 s, want at most %d and at least half of that", forwarded, limit)
	}
}

// Queued requests reserve units of the ceiling, so that together they do not exceed it, and return the units if they are
// not forwarded.
func TestQueuedRequestsReserveCeilingUnits(t *testing.T) {
	f := newFixture(t, testSettings()) // without a backend, all requests are queued
	f.request("read", "capped", "x")
	f.advance(200 * ms)
	f.now = 10 * time.Second // the bucket of the ceiling is full by then
	f.takeActions()
	for range 30 {
		f.request("read", "capped", "x")
	}
	f.advance(160 * ms) // some requests wait for a grant of the other limiter
	if rejected := len(actionsOf[Reject](f.takeActions())); rejected != 20 {
		t.Errorf("%d of 30 rejected, want the 20 that exceed this limiter's 10 units", rejected)
	}
	f.advance(time.Second)
	account := f.ctl.customers.byKey[customerKey{"x", "capped"}].account
	if units := f.ctl.customers.ledger.CeilingLevel(account, f.now); units < 9 {
		t.Errorf("ceiling has %.1f units after all requests were rejected, want at least 9 as they are returned", units)
	}
}

// A customer first seen long after the start of a limiter has that limiter's allocation of the ceiling immediately. At
// the start, it may already be spent, or lent in an earlier epoch. Many customers send requests only once.
func TestCeilingOfCustomerFirstSeenLate(t *testing.T) {
	f := newFixture(t, testSettings(), backendList("a", "b", "c")...)
	for i, want := range []int{0, 10} { // at the start, and one minute later
		f.takeActions()
		for range 30 {
			f.request("read", "capped", fmt.Sprint("c", i))
		}
		f.advance(200 * ms)
		if forwarded := len(actionsOf[StartAttempt](f.takeActions())); forwarded != want {
			t.Errorf("%d of 30 forwarded, want %d", forwarded, want)
		}
		f.now += time.Minute
	}
}

// Idle customers are deleted, so that memory does not grow with the uptime.
func TestIdleCustomersAreForgotten(t *testing.T) {
	f := newFixture(t, testSettings(), backendList("a", "b")...)
	for i := range 50 {
		id := f.request("read", "free", fmt.Sprint("c", i))
		for _, attempt := range actionsOf[StartAttempt](f.takeActions()) {
			f.finish(id, 0, attempt.Backend, Succeeded, ms)
		}
	}
	f.advance(40 * time.Second)
	customers := &f.ctl.customers
	accounts := customers.ledger.Counters(f.now).Accounts
	if n := len(customers.byKey) + len(customers.order) + len(f.ctl.requests) + accounts; n != 0 {
		t.Errorf("%d entries of customers, requests and accounts remain, want 0 after the customers were idle", n)
	}
}

// A request whose grant does not arrive is decided long before its deadline, by the local state.
func TestWaitForGrantIsBounded(t *testing.T) {
	f := newFixture(t, testSettings(), backendList("a", "b", "c")...)
	for range 10 {
		f.request("read", "small", "x")
	}
	f.advance(seconds(grantTimeoutFraction*0.4) + 20*ms) // 0.4 s is the shortest objective
	actions := f.takeActions()
	forwarded, rejected := len(actionsOf[StartAttempt](actions)), len(actionsOf[Reject](actions))
	if forwarded+rejected != 10 || forwarded < 4 || forwarded > 8 {
		t.Errorf("%d forwarded and %d rejected of 10, want all decided and 4 to 8 forwarded: half of the burst, which is allocated here, to all of it",
			forwarded, rejected)
	}
}

// A request is subject to the plan that it names, regardless of other plans of its customer, of a customer name with the
// same hash, and of messages of another limiter: no customer gets the limits of another one.
func TestRequestIsSubjectToItsOwnPlan(t *testing.T) {
	other, customer := customersWithEqualHash(t)
	for name, before := range map[string]func(f *fixture){
		"no earlier request":             func(*fixture) {},
		"other customer with equal hash": func(f *fixture) { f.request("read", "free", other) },
		"same customer on another plan":  func(f *fixture) { f.request("read", "free", customer) },
		"same customer on two other plans": func(f *fixture) {
			f.request("read", "free", customer)
			f.request("read", "small", customer)
		},
		"transfer request of another limiter": func(f *fixture) {
			request := gossip.TransferRequest{
				Customer: hashOf(customer), Plan: 0, SetSize: 2, Nonce: 1, QuotaWanted: 16, TotalLevel: gossip.UnknownTotal,
			}
			message := gossip.Message{Epoch: 5, Seq: 1, Requests: []gossip.TransferRequest{request}}
			f.handle(&PeerMessage{From: 1, Data: message.Append(nil)})
		},
	} {
		f := newFixture(t, testSettings(), backendList("a", "b", "c", "d")...)
		before(f)
		f.advance(200 * ms)
		f.now = 10 * time.Second // the bucket of the ceiling is full by then
		f.takeActions()
		for range 30 {
			f.request("read", "capped", customer)
		}
		f.advance(160 * ms)
		if rejected := len(actionsOf[Reject](f.takeActions())); rejected != 20 {
			t.Errorf("%s: %d of 30 rejected, want the 20 that exceed the 10 units of its own plan's ceiling here",
				name, rejected)
		}
	}
}

// customersWithEqualHash returns two customer names that share a hash.
func customersWithEqualHash(t *testing.T) (a, b string) {
	t.Helper()
	byHash := map[uint32]string{}
	for i := range 1 << 20 {
		name := fmt.Sprintf("%016x", i)
		if other, exists := byHash[hashOf(name)]; exists {
			return other, name
		}
		byHash[hashOf(name)] = name
	}
	t.Fatal("no two names have the same hash")
	return "", ""
}

// Limiters that never receive messages from each other exceed a quota by at most one burst.
func TestQuotaWithUnreachablePeers(t *testing.T) {
	tr := newTier(3, func(int, int) bool { return true })
	for tr.now < 20*time.Second {
		tr.step()
		if tr.now%(20*ms) == 0 {
			tr.request(int(tr.now/(20*ms))%3, "small")
		}
	}
	if limit := 8 + 2*20 + 8; tr.forwarded > limit || tr.forwarded < 8+2*20-3 { // burst, rate for 20 s, one more burst
		t.Errorf("%d forwarded in 20 s without messages between limiters, want about 48 and at most %d", tr.forwarded, limit)
	}
}

// A customer that sends five times its quota to eighty limiters gets about its quota, even if messages are lost, delayed
// and reordered, and limiters restart.
func TestQuotaOverManyLimiters(t *testing.T) {
	for _, test := range []struct {
		name                     string
		loss                     float64
		restarts                 bool
		minFraction, maxFraction float64 // fraction of the quota
	}{
		{"no loss", 0, false, 0.75, 1.15},
		{"loss", 0.07, false, 0.7, 1.25},
		{"restarts", 0.05, true, 0.65, 1.5},
	} {
		random := rand.New(rand.NewPCG(5, 5))
		tr := newTier(80, func(int, int) bool { return random.Float64() < test.loss })
		const duration = 60 * time.Second
		for tr.now < duration {
			tr.delay = time.Duration(5+random.IntN(20)) * ms
			tr.step()
			if random.IntN(25) == 0 {
				tr.request(random.IntN(len(tr.controllers)), "small")
			}
			if test.restarts && random.IntN(75) == 0 {
				tr.restart(random.IntN(len(tr.controllers)))
			}
		}
		quota := 8 + 2*duration.Seconds()
		if got := float64(tr.forwarded) / quota; got < test.minFraction || got > test.maxFraction {
			t.Errorf("%s: %.2f of the quota forwarded, want %.2f to %.2f", test.name, got, test.minFraction, test.maxFraction)
		}
	}
}

// A customer well within its quota has no request rejected, regardless of the limiters at which they arrive.
func TestUsageWithinQuotaIsAdmittedAtManyLimiters(t *testing.T) {
	random := rand.New(rand.NewPCG(6, 6))
	tr := newTier(80, func(int, int) bool { return random.Float64() < 0.05 })
	requests := 0
	for tr.now < 60*time.Second {
		tr.step()
		if tr.now%(1200*ms) == 0 {
			requests++
			tr.request(random.IntN(len(tr.controllers)), "small")
		}
	}
	for range 200 {
		tr.step()
	}
	if tr.forwarded < requests-2 { // the first owner that receives a transfer request may have less than one unit
		t.Errorf("%d of %d forwarded, want all but two at most, at less than half of the quota", tr.forwarded, requests)
	}
}

// The slots of a customer are counted across many limiters, and a freed slot is used again at any of them.
func TestSlotsOverManyLimiters(t *testing.T) {
	tr := newTier(50, neverLost)
	for range 200 {
		tr.step()
		tr.step()
		tr.request(tr.controllers[0].random.IntN(50), "concurrent")
	}
	if tr.forwarded < 35 {
		t.Errorf("%d of 200 sequential requests forwarded, want at least 35 with two slots", tr.forwarded)
	}
}

// A limiter of a large tier notifies each other limiter of its shutdown only once: in a rolling restart many limiters
// shut down at the same time, and each accepts few messages.
func TestShutdownNoticesInLargeTier(t *testing.T) {
	for _, test := range []struct{ limiters, maxNotices int }{{3, 2 * shutdownNotices}, {80, 79}} {
		settings := testSettings()
		settings.Limiters = test.limiters
		f := newFixture(t, settings)
		f.takeActions()
		f.handle(ShutdownStarted{})
		if sent := len(actionsOf[SendToPeer](f.takeActions())); sent < test.limiters-1 || sent > test.maxNotices {
			t.Errorf("%d limiters: %d notices sent, want one per other limiter at least and %d in total at most",
				test.limiters, sent, test.maxNotices)
		}
	}
}

// The customers that are known are bounded: beyond the bound a request of a new customer is rejected, and known customers
// are served. Customers that have been idle for longer than any request lasts make room for new ones. A request of which a
// response is of no use adds no customer.
func TestCustomersAreBounded(t *testing.T) {
	f := newFixture(t, testSettings(), backendList("a", "b")...)
	f.ctl.LimitCustomers(100)
	reasons := map[EndReason]int{}
	send := func(customer int, budget time.Duration) (started bool) {
		f.takeActions()
		id := f.requestWithBudget("read", "free", fmt.Sprint("customer", customer), budget)
		for _, attempt := range actionsOf[StartAttempt](f.actions) {
			started = true
			f.finish(id, 0, attempt.Backend, Succeeded, ms)
		}
		for _, rejected := range actionsOf[Reject](f.actions) {
			reasons[rejected.Reason]++
		}
		return started
	}
	for customer := range 1000 {
		send(customer, time.Second)
		send(customer+1000, 0)
		f.now += 20 * time.Microsecond
	}
	if known, limit := f.ctl.Customers(); known != 100 || limit != 100 {
		t.Errorf("%d customers known, limit %d, want 100 of 100", known, limit)
	}
	if n := f.ctl.QuotaCounters().Accounts; n > 100 {
		t.Errorf("%d accounts, want at most 100", n)
	}
	if reasons[EndTooManyCustomers] != 900 || reasons[EndTooLate] != 1000 {
		t.Errorf("rejected for the reasons %v, want 900 of customers that are not known, and 1000 that are too late", reasons)
	}
	if !send(7, time.Second) {
		t.Error("a request of a known customer was not forwarded")
	}
	f.now += f.ctl.maxAttemptEnd() + time.Minute
	if !send(5000, time.Second) {
		t.Error("a request of a new customer was not forwarded, though the others have been idle for long")
	}
}
