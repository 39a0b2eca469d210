package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"lemongate/internal/gossip"
)

// ledgerTier is a set of ledgers with an account of one customer at each, and no network: messages arrive at
// once, unless they are lost or a limiter is cut off.
type ledgerTier struct {
	ledgers  []*Ledger
	now      time.Duration
	cutOff   map[int]bool // limiters that are cut off
	loss     float64      // fraction of all messages
	rng      *rand.Rand
	requests int // transfer requests sent by all limiters
}

// newLedgerTier starts a tier with full buckets.
func newLedgerTier(n int, plan Plan) *ledgerTier {
	t := &ledgerTier{now: time.Hour, cutOff: map[int]bool{}, rng: rand.New(rand.NewPCG(5, 6))}
	for i := range n {
		l := New(Config{Self: i, Limiters: n, GossipEnabled: true, Plans: []Plan{plan}, Epoch: uint32(i + 1)}, t.now)
		l.ResolveStartState(TierStarted, t.now)
		t.ledgers = append(t.ledgers, l)
	}
	return t
}

func (t *ledgerTier) account(i int) *Account {
	return t.ledgers[i].Account(7, 0, 0, len(t.ledgers), t.now)
}

// owner returns the number of the owner with a rank.
func (t *ledgerTier) owner(rank int) int { return t.account(0).owners[rank] }

// exchange delivers messages until none is left.
func (t *ledgerTier) exchange() {
	for delivered := true; delivered; {
		delivered = false
		for i, l := range t.ledgers {
			for _, to := range l.TakeReadyPeers() {
				requests, grants, _ := l.Compose(to, t.now)
				t.requests += len(requests)
				if t.cutOff[i] || t.cutOff[to] || t.rng.Float64() < t.loss {
					continue
				}
				delivered = true
				other := t.ledgers[to]
				other.ObservePeer(i, l.Epoch, true, 9, 9, t.now)
				for _, request := range requests {
					other.HandleRequest(i, request, t.now)
				}
				for _, grant := range grants {
					other.HandleGrant(i, grant, t.now)
				}
			}
		}
	}
}

// request reports whether a limiter grants a request for one unit, after waiting for a decision as long as it
// may.
func (t *ledgerTier) request(i int) bool {
	l, a := t.ledgers[i], t.account(i)
	l.RecordDemand(a, 1, t.now)
	decision, _ := l.Reserve(a, 1, false, t.now)
	for range 3 {
		if decision != Pending {
			break
		}
		t.exchange()
		decision, _ = l.Reserve(a, 1, false, t.now)
		if decision == Pending {
			t.now += ownerRetransmitAfter + time.Millisecond
		}
	}
	if decision == Pending {
		decision, _ = l.Reserve(a, 1, true, t.now)
	}
	if decision == Granted {
		a.MarkSent(1)
	}
	return decision == Granted
}

// A customer whose requests arrive at every limiter once gets what its quota holds, and no more. That includes the
// first request to an owner that has sent no message yet, and sets of more limiters than a byte can count.
func TestOwnerGrantsItsBucket(t *testing.T) {
	for _, n := range []int{9, 20, 80, 256, 257, 300} {
		tr := newLedgerTier(n, quotaPlan)
		sum := 0
		for i := range 60 {
			if tr.request(i % n) {
				sum++
			}
		}
		allowed := 24 + 5*(tr.now-time.Hour).Seconds()
		if got := float64(sum); got < min(allowed, 60)-2 || got > allowed {
			t.Errorf("%d limiters: %d of 60 requests granted, want no more than %.1f and at most 2 fewer", n, sum, allowed)
		}
	}
}

// While the owner is silent the first backup owner decides, after one request of each limiter got no reply. It
// uses the level that the owner last reported to these limiters.
func TestBackupOwnerDecides(t *testing.T) {
	tr := newLedgerTier(80, quotaPlan)
	owner := tr.owner(0)
	for i := range 8 { // 16 units are left
		if i != owner {
			tr.request(i)
		}
	}
	tr.now += time.Second
	tr.cutOff[owner] = true
	for i := range 80 {
		a, l := tr.account(i), tr.ledgers[i]
		l.RecordDemand(a, 1, tr.now)
		l.Reserve(a, 1, false, tr.now)
		tr.exchange()
	}
	tr.now += transferTimeout
	sum := 0
	for i := range 80 {
		if i != owner && tr.request(i) {
			sum++
		}
	}
	if most := 24 + 5*(tr.now-time.Hour).Seconds() + 8; sum < 16 || float64(sum) > most {
		t.Errorf("%d of 79 requests granted while the owner was silent, want at least the 16 units left and at most %.0f", sum, most)
	}
	for i, l := range tr.ledgers {
		if l.Counts.AdmittedWithoutGrant > 0 {
			t.Fatalf("limiter %d admitted a request without a grant, though there is a backup owner", i)
		}
	}
}

// The owners' allocations of a ceiling never add up to more than the ceiling, whichever owners are silent.
func TestCeilingFractionsNeverExceedCeiling(t *testing.T) {
	plan := quotaPlan
	plan.Ceiling = Bucket{Rate: 10, Burst: 48}
	tr := newLedgerTier(80, plan)
	sum := 0.0
	for i := range 80 {
		sum += tr.account(i).ceilingFraction
	}
	if sum > 1.0001 {
		t.Errorf("fractions add up to %.2f, want at most 1", sum)
	}
	from := tr.now
	tr.now += 3 * time.Second
	units := 0
	for _, silent := range []int{-1, 0, 1} { // the owner dies, then its first backup as well
		if silent >= 0 {
			tr.cutOff[tr.owner(silent)] = true
		}
		for i := range 400 {
			if i%80 != tr.owner(0) && i%80 != tr.owner(1) && tr.request(i%80) {
				units++
			}
		}
	}
	if most := plan.Ceiling.Burst + plan.Ceiling.Rate*(tr.now-from).Seconds(); float64(units) > most {
		t.Errorf("%d units granted, want at most the %.0f that the ceiling allows", units, most)
	}
}

// After a start with empty ceilings, an owner can use the refill of its backup owners' allocations of the ceiling in
// addition to its own. Lost messages, an owner that is cut off, and one that restarts never lead to more than the
// ceiling allows.
func TestOwnerBorrowsCeiling(t *testing.T) {
	plan := quotaPlan
	plan.Quota, plan.Ceiling = Bucket{Rate: 50, Burst: 200}, Bucket{Rate: 10, Burst: 48} // the ceiling is exhausted first
	for seed := range uint64(20) {
		const n = 20
		tr := newLedgerTier(n, plan)
		rng := rand.New(rand.NewPCG(seed, 3))
		from, units := tr.now, 0
		for tr.now < from+30*time.Second {
			if seed > 0 { // the first seed has no failures
				tr.loss = rng.Float64() / 2
				switch k := tr.owner(rng.IntN(ownerCount)); rng.IntN(500) {
				case 0:
					tr.cutOff = map[int]bool{k: true}
				case 1:
					tr.cutOff = map[int]bool{}
				case 2: // it restarts with nothing in memory
					tr.ledgers[k] = New(Config{Self: k, Limiters: n, GossipEnabled: true, Plans: []Plan{plan}, Epoch: uint32(tr.now / time.Millisecond)}, tr.now)
					tr.ledgers[k].ResolveStartState(LimiterRestarted, tr.now)
				}
			}
			if i := rng.IntN(n); !tr.cutOff[i] && tr.request(i) {
				units++
			}
			tr.now += 5 * time.Millisecond
			tr.exchange()
			past, left := (tr.now - from).Seconds(), 0.0
			for i := range n {
				left += tr.ledgers[i].CeilingLevel(tr.account(i), tr.now)
			}
			if most := plan.Ceiling.Rate * past; float64(units)+left > most+1e-6 || left > plan.Ceiling.Burst { // all levels were 0 at the start
				t.Fatalf("seed %d: %d units granted and %.1f left after %.1f s, want together at most the refill of %.1f, and no more left than the burst", seed, units, left, past, most)
			}
			if seed == 0 && past > 3 && float64(units) < 0.8*plan.Ceiling.Rate*past {
				t.Fatalf("%d units granted in %.1f s, want at least 0.8 of the ceiling's rate", units, past)
			}
		}
	}
}

// A limiter that gets no decision consumes from a credit that is small for the complete set, and reports the debt to
// the owner when the owner replies again.
func TestCreditIsBounded(t *testing.T) {
	tr := newLedgerTier(80, quotaPlan)
	for _, k := range []int{0, 1, 2} {
		tr.cutOff[tr.owner(k)] = true
	}
	from, sum := tr.now, 0
	for i := range 800 {
		if !tr.cutOff[i%80] && tr.request(i%80) {
			sum++
		}
	}
	most := creditRateFactor*quotaPlan.Quota.Rate*(tr.now-from).Seconds() + 80
	if got := float64(sum); got > most || got < 70 {
		t.Errorf("%d requests granted without a decision, want at most %.0f and at least 70: about one at each limiter", sum, most)
	}
	owner := tr.owner(0)
	before := tr.ledgers[owner].QuotaLevel(tr.account(owner), tr.now)
	tr.cutOff = map[int]bool{}
	tr.now += 2 * time.Second
	requester := (owner + 40) % 80
	debt := tr.account(requester).unreportedUnits
	tr.ledgers[requester].ObservePeer(owner, tr.ledgers[owner].Epoch, true, 9, 9, tr.now)
	tr.request(requester)
	if after := tr.ledgers[owner].QuotaLevel(tr.account(owner), tr.now); debt > 0 && after > before-debt+1 {
		t.Errorf("owner's level %.1f before and %.1f after a debt of %.1f was reported, want it lower by the debt", before, after, debt)
	}
}

// The limiters of a hot customer do not send a transfer request for each client request once its owner has
// reported the customer.
func TestHotCustomerSkipsTransferRequests(t *testing.T) {
	tr := newLedgerTier(80, quotaPlan)
	for i := range 300 {
		tr.request(i % 80)
	}
	before := tr.requests
	for i := range 300 {
		tr.request(i % 80)
	}
	if n := tr.requests - before; n > 200 {
		t.Errorf("%d transfer requests for 300 requests of a customer far beyond its quota, want at most 200", n)
	}
}

// A transfer request that arrives several times moves its units once.
func TestRepeatedRequestMovesUnitsOnce(t *testing.T) {
	tr := newLedgerTier(80, quotaPlan)
	owner := tr.owner(0)
	l, a := tr.ledgers[owner], tr.account(owner)
	peerID := (owner + 1) % 80
	l.ObservePeer(peerID, 5, true, 9, 9, tr.now)
	m := gossip.TransferRequest{Customer: 7, SetSize: 80, Nonce: 9, QuotaWanted: 2 * gossip.UnitParts, Consumed: gossip.UnitParts, TotalLevel: gossip.UnknownTotal}
	for range 3 {
		l.HandleRequest(peerID, m, tr.now)
	}
	if level := l.QuotaLevel(a, tr.now); level != 24-3 {
		t.Errorf("level %.1f after one request for 2 units with a debt of 1 that arrived three times, want 21", level)
	}
}

// Units that were granted and not used are returned to the owner, once.
func TestRefundReachesOwner(t *testing.T) {
	tr := newLedgerTier(80, quotaPlan)
	owner := tr.owner(0)
	requester := (owner + 7) % 80
	before := tr.ledgers[owner].QuotaLevel(tr.account(owner), tr.now)
	for range 4 {
		if !tr.request(requester) {
			t.Fatal("request rejected with a full quota")
		}
		tr.ledgers[requester].Refund(tr.account(requester), 1, tr.now)
		tr.exchange()
		tr.exchange()
	}
	if after := tr.ledgers[owner].QuotaLevel(tr.account(owner), tr.now); after < before-0.1 || after > 24 {
		t.Errorf("owner's level %.1f before and %.1f after four requests that were not forwarded, want the same", before, after)
	}
}

// Units in transit to a limiter count against the owner's capacity: else its allocation would refill meanwhile, and
// all allocations together would hold more than the ceiling.
func TestUnitsInTransitCountAgainstCapacity(t *testing.T) {
	plan := quotaPlan
	plan.Ceiling = Bucket{Rate: 10, Burst: 48}
	tr := newLedgerTier(80, plan)
	owner := tr.owner(0)
	l, a := tr.ledgers[owner], tr.account(owner)
	tr.now += 20 * time.Second // the owner's allocation of the ceiling is full
	full := l.CeilingLevel(a, tr.now)
	peerID := (owner + 1) % 80
	l.ObservePeer(peerID, 5, true, 9, 9, tr.now)
	l.HandleRequest(peerID, gossip.TransferRequest{Customer: 7, SetSize: 80, Nonce: 9, QuotaWanted: 4 * gossip.UnitParts, CeilingWanted: 4 * gossip.UnitParts, TotalLevel: gossip.UnknownTotal}, tr.now)
	if level := l.CeilingLevel(a, tr.now+transferTimeout); level > full-4+1e-9 {
		t.Errorf("level %.1f while 4 units of %.1f are in transit, want at most the difference", level, full)
	}
	if level := l.CeilingLevel(a, tr.now+2*time.Second); level < full-1e-9 || a.ceilingUnitsInTransit != 0 || len(a.ceilingInTransit) != 0 {
		t.Errorf("level %.1f and %.1f in transit after the end of the transit, want %.1f and 0", level, a.ceilingUnitsInTransit, full)
	}
}

// A limiter that is neither owner nor backup owner has nothing to grant, and takes no units that a transfer
// request returns.
func TestRequestToNonOwnerGetsNothing(t *testing.T) {
	tr := newLedgerTier(80, quotaPlan)
	nonOwner := 0
	for tr.account(nonOwner).ownerRank >= 0 {
		nonOwner++
	}
	l, a := tr.ledgers[nonOwner], tr.account(nonOwner)
	peerID := (nonOwner + 1) % 80
	l.ObservePeer(peerID, 5, true, 9, 9, tr.now)
	returnedParts := int16(-9 * gossip.UnitParts)
	l.HandleRequest(peerID, gossip.TransferRequest{Customer: 7, SetSize: 80, Nonce: 9, QuotaWanted: gossip.UnitParts, Consumed: uint16(returnedParts), TotalLevel: gossip.UnknownTotal}, tr.now)
	_, grants, _ := l.Compose(peerID, tr.now)
	if level := l.QuotaLevel(a, tr.now); level != 0 || len(grants) != 1 || grants[0].QuotaUnits != 0 {
		t.Errorf("level %.1f and grants %+v, want level 0 and one grant of no units", level, grants)
	}
}

// A refund of units that a backup owner granted itself returns to its own level.
func TestBackupOwnerKeepsItsRefund(t *testing.T) {
	tr := newLedgerTier(80, quotaPlan)
	backupOwner := tr.owner(1)
	l, a := tr.ledgers[backupOwner], tr.account(backupOwner)
	l.peer(tr.owner(0)).unresponsive = true
	before := l.QuotaLevel(a, tr.now)
	if !tr.request(backupOwner) {
		t.Fatal("request rejected with a full quota and a silent owner")
	}
	l.Refund(a, 1, tr.now)
	if level := l.QuotaLevel(a, tr.now); level != before || a.unreportedUnits != 0 {
		t.Errorf("level %.1f after the refund, want %.1f as before; debt %.1f, want 0", level, before, a.unreportedUnits)
	}
}

// An owner that restarts with nothing in memory grants no new burst, however often it restarts.
func TestRestartedOwnerGrantsNoNewBurst(t *testing.T) {
	for _, n := range []int{9, 20, 80} {
		tr := newLedgerTier(n, quotaPlan)
		for i := range 3 * n {
			tr.request(i % n)
		}
		owner := tr.owner(0)
		from, sum := tr.now, 0
		const starts = 3
		for restart := range starts {
			l := New(Config{Self: owner, Limiters: n, GossipEnabled: true, Plans: []Plan{quotaPlan}, Epoch: uint32(1000 + restart)}, tr.now)
			l.ResolveStartState(TierRestarted, tr.now)
			tr.ledgers[owner] = l
			for i := range 200 {
				if i%n != owner && tr.request(i%n) {
					sum++
				}
			}
		}
		allowed := 5*(tr.now-from).Seconds() + starts*24/2       // half a burst each
		if most := allowed + float64(n)/4; float64(sum) > most { // credit of limiters whose request was pending at a restart
			t.Errorf("%d limiters: %d requests granted over %d starts, want at most %.0f", n, sum, starts, most)
		}
	}
}

// In a large tier most pairs exchange nothing for seconds: that alone does not declare a peer dead, even if the
// demand here rises.
func TestQuietPeersAreNotDeclaredDead(t *testing.T) {
	for _, c := range []struct {
		limiters     int
		unresponsive bool
		dead         bool
	}{{80, false, false}, {80, true, true}, {8, false, true}} {
		l := New(Config{Limiters: c.limiters, GossipEnabled: true, Plans: []Plan{quotaPlan}, Epoch: 1}, time.Hour)
		now := time.Hour
		peers := c.limiters * 3 / 8
		runRounds := func(rounds, units int, receive bool) {
			for range rounds {
				now += 100 * time.Millisecond
				for peerID := 1; receive && peerID <= peers; peerID++ {
					l.ObservePeer(peerID, 5, true, 9, 9, now)
				}
				for k := range uint32(400) {
					l.RecordDemand(l.Account(k, 0, 0, 3, now), float64(units), now)
				}
				l.Tick(now)
			}
		}
		runRounds(60, 1, true)
		for peerID := 1; peerID <= peers; peerID++ {
			l.peer(peerID).unresponsive = c.unresponsive
		}
		runRounds(30, 2, false)
		if dead := l.Counts.PeersDeclaredDead > 0; dead != c.dead {
			t.Errorf("%d limiters, unresponsive peers %v: %d peers declared dead, want some only if the tier is small or the peers are unresponsive", c.limiters, c.unresponsive, l.Counts.PeersDeclaredDead)
		}
	}
}

// The reply to a repeated transfer request is the grant that was sent before and lost, even if the request was the
// first that the owner ever received.
func TestOwnerRepeatsItsFirstGrant(t *testing.T) {
	const units = 34
	tr := newLedgerTier(80, Plan{Quota: Bucket{Rate: 50, Burst: 60}, Ceiling: Bucket{Rate: 60, Burst: 100}})
	tr.now += time.Second // the ceiling is short, so that the owner borrows
	owner := tr.owner(0)
	l, peerID := tr.ledgers[owner], (owner+1)%80
	l.ObservePeer(peerID, 5, true, 9, 9, tr.now)
	request := gossip.TransferRequest{
		Customer: 7, SetSize: 80, Nonce: 9, QuotaWanted: units * gossip.UnitParts, CeilingWanted: units * gossip.UnitParts,
		TotalLevel: gossip.UnknownTotal,
	}
	var granted []uint16
	for range 2 {
		l.HandleRequest(peerID, request, tr.now)
		_, grants, _ := l.Compose(peerID, tr.now)
		for _, grant := range grants {
			if grant.Nonce == request.Nonce {
				granted = append(granted, grant.QuotaUnits)
			}
		}
	}
	if len(granted) != 2 || granted[0] != units*gossip.UnitParts || granted[1] != granted[0] {
		t.Errorf("granted %v sixteenths of a unit, want %d twice", granted, units*gossip.UnitParts)
	}
}

// Guards against a lender that uses the share that it lent, because it does not record its first loan out of an
// account that a peer's request created: then a ceiling is exceeded even if no message is lost.
func TestFirstLoanCountsAtLender(t *testing.T) {
	plan := Plan{Quota: Bucket{Rate: 50, Burst: 200}, Ceiling: Bucket{Rate: 10, Burst: 24}}
	tr := newLedgerTier(3, plan)
	for i, l := range tr.ledgers {
		for k := range 3 {
			if k != i {
				l.ObservePeer(k, uint32(k+1), true, 9, 9, tr.now)
			}
		}
	}
	tr.now += 10 * time.Second // the ceiling is full: 24
	consumed := 0
	drain := func(i int) {
		for range 100 {
			l, a := tr.ledgers[i], tr.account(i)
			l.RecordDemand(a, 1, tr.now)
			if decision, _ := l.Reserve(a, 1, true, tr.now); decision == Granted {
				a.MarkSent(1)
				consumed++
			}
		}
	}
	drain(0)
	tr.exchange()
	drain(0)
	level := 24.0 - float64(consumed)
	tr.now += 1900 * time.Millisecond
	level, consumed = min(24, level+19), 0
	for i := range 3 {
		drain(i)
	}
	if level -= float64(consumed); level < 0 {
		t.Errorf("the ceiling's level is %.1f, want at least 0", level)
	}
}
