package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"lemongate/internal/gossip"
)

// homeTier is a large set of ledgers with an account of one customer at each, and no
// network: what one tells another comes at once, unless it is cut.
type homeTier struct {
	ledgers []*Ledger
	now     time.Duration
	cut     map[int]bool
	loss    float64
	rng     *rand.Rand
	asks    int
}

func newHomeTier(n int, plan Plan, s RecoveryState) *homeTier {
	t := &homeTier{now: time.Hour, cut: map[int]bool{}, rng: rand.New(rand.NewPCG(5, 6))}
	for i := range n {
		l := New(Config{Self: i, Limiters: n, Gossips: true, Plans: []Plan{plan}, Epoch: uint32(i + 1)}, t.now)
		l.Resolve(s, t.now)
		t.ledgers = append(t.ledgers, l)
	}
	return t
}

func (t *homeTier) account(i int) *Account {
	return t.ledgers[i].Account(7, 0, 0, len(t.ledgers), t.now)
}

// home is the limiter that has place k among the homes.
func (t *homeTier) home(k int) int { return t.account(0).owners[k] }

// talk carries what all have to tell until nothing is left.
func (t *homeTier) talk() {
	for again := true; again; {
		again = false
		for i, l := range t.ledgers {
			for _, to := range l.TakeReadyPeers() {
				asks, answers, _ := l.Compose(to, t.now)
				t.asks += len(asks)
				if t.cut[i] || t.cut[to] || t.rng.Float64() < t.loss {
					continue
				}
				again = true
				other := t.ledgers[to]
				other.ObservePeer(i, l.Epoch, true, 9, 9, t.now)
				for _, m := range asks {
					other.HandleRequest(i, m, t.now)
				}
				for _, m := range answers {
					other.HandleGrant(i, m, t.now)
				}
			}
		}
	}
}

// req tells whether a limiter grants a req of one unit, waiting for a word as long as may be.
func (t *homeTier) req(i int) bool {
	l, a := t.ledgers[i], t.account(i)
	l.RecordDemand(a, 1, t.now)
	word, _ := l.Reserve(a, 1, false, t.now)
	for range 3 {
		if word != Pending {
			break
		}
		t.talk()
		if word, _ = l.Reserve(a, 1, false, t.now); word == Pending {
			t.now += ownerRetransmitAfter + time.Millisecond
		}
	}
	if word == Pending {
		word, _ = l.Reserve(a, 1, true, t.now)
	}
	if word == Granted {
		a.MarkSent(1)
	}
	return word == Granted
}

// A customer that every limiter meets once gets what its store holds, wherever its
// reqs come in, and no more. Trouble: a limiter's first ask of a home that it had
// not heard yet was void once the answer came, and its units were lost; and the size
// of a set went in one byte, so that homes took asks of sets over 256 for another's.
func TestHomeGrantsItsStore(t *testing.T) {
	for _, n := range []int{9, 20, 80, 256, 257, 300} {
		tr := newHomeTier(n, plain, TierStarted)
		sum := 0
		for i := range 60 {
			if tr.req(i % n) {
				sum++
			}
		}
		due := 24 + 5*(tr.now-time.Hour).Seconds()
		if got := float64(sum); got < min(due, 60)-2 || got > due {
			t.Errorf("%d limiters: %d of 60 granted, where %.1f are due", n, sum, due)
		}
	}
}

// While the home is silent the next in turn decides, after one unanswered ask of
// each asker; and it goes by what askers were told last.
func TestStandIn(t *testing.T) {
	tr := newHomeTier(80, plain, TierStarted)
	home := tr.home(0)
	for i := range 8 { // 16 units are left
		if i != home {
			tr.req(i)
		}
	}
	tr.now += time.Second
	tr.cut[home] = true
	for i := range 80 {
		a, l := tr.account(i), tr.ledgers[i]
		l.RecordDemand(a, 1, tr.now)
		l.Reserve(a, 1, false, tr.now)
		tr.talk()
	}
	tr.now += requestTimeout
	sum := 0
	for i := range 80 {
		if i != home && tr.req(i) {
			sum++
		}
	}
	if most := 24 + 5*(tr.now-time.Hour).Seconds() + 8; sum < 16 || float64(sum) > most {
		t.Errorf("%d of 79 granted while the home was silent, want the 16 left and at most %.0f", sum, most)
	}
	for i, l := range tr.ledgers {
		if l.Counts.AdmittedWithoutGrant > 0 {
			t.Fatalf("limiter %d sent on without a word, though there is a stand-in", i)
		}
	}
}

// A ceiling's parts never add up to more than the whole, whoever is silent.
func TestRoofs(t *testing.T) {
	plan := plain
	plan.Ceiling = Bucket{Rate: 10, Burst: 48}
	tr := newHomeTier(80, plan, TierStarted)
	sum := 0.0
	for i := range 80 {
		sum += tr.account(i).ceilingFraction
	}
	if sum > 1.0001 {
		t.Errorf("parts add up to %.2f", sum)
	}
	from := tr.now
	tr.now += 3 * time.Second
	units := 0
	for _, silent := range []int{-1, 0, 1} { // the home dies, then its stand-in as well
		if silent >= 0 {
			tr.cut[tr.home(silent)] = true
		}
		for i := range 400 {
			if i%80 != tr.home(0) && i%80 != tr.home(1) && tr.req(i%80) {
				units++
			}
		}
	}
	if most := plan.Ceiling.Burst + plan.Ceiling.Rate*(tr.now-from).Seconds(); float64(units) > most {
		t.Errorf("%d units granted, the ceiling allows %.0f", units, most)
	}
}

// After a start, with empty stores, a home has what those that stand in for it gain of the
// ceiling beside its own: 0.6 of it was all there was. Lost messages, a home or a stand-in that
// is cut off, and one that starts again never bring more than the ceiling allows.
func TestHomeBorrows(t *testing.T) {
	plan := plain
	plan.Quota, plan.Ceiling = Bucket{Rate: 50, Burst: 200}, Bucket{Rate: 10, Burst: 48} // the ceiling binds
	for seed := range uint64(20) {
		const n = 20
		tr := newHomeTier(n, plan, TierStarted)
		rng := rand.New(rand.NewPCG(seed, 3))
		from, units := tr.now, 0
		for tr.now < from+30*time.Second {
			if seed > 0 { // the first has no trouble
				tr.loss = rng.Float64() / 2
				switch k := tr.home(rng.IntN(ownerCount)); rng.IntN(500) {
				case 0:
					tr.cut = map[int]bool{k: true}
				case 1:
					tr.cut = map[int]bool{}
				case 2: // nothing is left of what it held
					tr.ledgers[k] = New(Config{Self: k, Limiters: n, Gossips: true, Plans: []Plan{plan}, Epoch: uint32(tr.now / time.Millisecond)}, tr.now)
					tr.ledgers[k].Resolve(LimiterRestarted, tr.now)
				}
			}
			if i := rng.IntN(n); !tr.cut[i] && tr.req(i) {
				units++
			}
			tr.now += 5 * time.Millisecond
			tr.talk()
			past, held := (tr.now - from).Seconds(), 0.0
			for i := range n {
				held += tr.ledgers[i].Ceiling(tr.account(i), tr.now)
			}
			if most := plan.Ceiling.Rate * past; float64(units)+held > most+1e-6 || held > plan.Ceiling.Burst { // all were empty at first
				t.Fatalf("seed %d: %d units granted and %.1f held after %.1f s, no more than %.1f came in", seed, units, held, past, most)
			}
			if seed == 0 && past > 3 && float64(units) < 0.8*plan.Ceiling.Rate*past {
				t.Fatalf("%d units granted in %.1f s, want 0.8 of the ceiling's rate at least", units, past)
			}
		}
	}
}

// A limiter that gets no word goes by a credit that is small for the whole set, and
// tells the home of it when it answers again. With a ceiling there is none.
func TestCreditIsBounded(t *testing.T) {
	tr := newHomeTier(80, plain, TierStarted)
	for _, k := range []int{0, 1, 2} {
		tr.cut[tr.home(k)] = true
	}
	from, sum := tr.now, 0
	for i := range 800 {
		if !tr.cut[i%80] && tr.req(i%80) {
			sum++
		}
	}
	most := creditRateFactor*plain.Quota.Rate*(tr.now-from).Seconds() + 80
	if got := float64(sum); got > most || got < 70 {
		t.Errorf("%d granted without a word, want at most %.0f and one of most limiters", sum, most)
	}
	home := tr.home(0)
	before := tr.ledgers[home].Level(tr.account(home), tr.now)
	tr.cut = map[int]bool{}
	tr.now += 2 * time.Second
	asker := (home + 40) % 80
	debt := tr.account(asker).unreportedUnits
	tr.ledgers[asker].ObservePeer(home, tr.ledgers[home].Epoch, true, 9, 9, tr.now)
	tr.req(asker)
	if after := tr.ledgers[home].Level(tr.account(home), tr.now); debt > 0 && after > before-debt+1 {
		t.Errorf("level %.1f before, %.1f after a debt of %.1f was told", before, after, debt)
	}
}

// A hot customer's limiters do not ask for each of its reqs once its home told of it.
func TestHotIsThinned(t *testing.T) {
	tr := newHomeTier(80, plain, TierStarted)
	for i := range 300 {
		tr.req(i % 80)
	}
	asks := tr.asks
	for i := range 300 {
		tr.req(i % 80)
	}
	if n := tr.asks - asks; n > 200 {
		t.Errorf("%d asks for 300 reqs of a customer far beyond its quota", n)
	}
}

// A datagram that comes twice moves nothing twice.
func TestAskTwice(t *testing.T) {
	tr := newHomeTier(80, plain, TierStarted)
	home := tr.home(0)
	l, a := tr.ledgers[home], tr.account(home)
	who := (home + 1) % 80
	l.ObservePeer(who, 5, true, 9, 9, tr.now)
	m := gossip.TransferRequest{Customer: 7, SetSize: 80, Nonce: 9, QuotaWanted: 2 * gossip.UnitParts, Consumed: gossip.UnitParts, TotalLevel: gossip.UnknownTotal}
	for range 3 {
		l.HandleRequest(who, m, tr.now)
	}
	if level := l.Level(a, tr.now); level != 24-3 {
		t.Errorf("level %.1f after one ask for 2 units and a debt of 1, told three times", level)
	}
}

// Units that were granted and not sent after all are the home's again, once.
// Trouble: in overload each req that was held in vain took its units along, and the
// store stood at half while its home said that it was empty.
func TestUnsentComesBack(t *testing.T) {
	tr := newHomeTier(80, plain, TierStarted)
	home := tr.home(0)
	who := (home + 7) % 80
	before := tr.ledgers[home].Level(tr.account(home), tr.now)
	for range 4 {
		if !tr.req(who) {
			t.Fatal("refused with a full store")
		}
		tr.ledgers[who].Refund(tr.account(who), 1, tr.now)
		tr.talk()
		tr.talk()
	}
	if after := tr.ledgers[home].Level(tr.account(home), tr.now); after < before-0.1 || after > 24 {
		t.Errorf("level %.1f before and %.1f after four reqs that were not sent", before, after)
	}
}

// What is on its way to an asker keeps its room at the home: else that fills again
// meanwhile, and all parts together hold more than the ceiling's store.
func TestFlyingKeepsItsRoom(t *testing.T) {
	plan := plain
	plan.Ceiling = Bucket{Rate: 10, Burst: 48}
	tr := newHomeTier(80, plan, TierStarted)
	home := tr.home(0)
	l, a := tr.ledgers[home], tr.account(home)
	tr.now += 20 * time.Second // its part is full
	full := l.Ceiling(a, tr.now)
	who := (home + 1) % 80
	l.ObservePeer(who, 5, true, 9, 9, tr.now)
	l.HandleRequest(who, gossip.TransferRequest{Customer: 7, SetSize: 80, Nonce: 9, QuotaWanted: 4 * gossip.UnitParts, CeilingWanted: 4 * gossip.UnitParts, TotalLevel: gossip.UnknownTotal}, tr.now)
	if level := l.Ceiling(a, tr.now+requestTimeout); level > full-4+1e-9 {
		t.Errorf("level %.1f while 4 units of %.1f are on their way", level, full)
	}
	if level := l.Ceiling(a, tr.now+2*time.Second); level < full-1e-9 || a.ceilingUnitsInTransit != 0 || len(a.ceilingInTransit) != 0 {
		t.Errorf("level %.1f and %.1f aloft long after, want %.1f", level, a.ceilingUnitsInTransit, full)
	}
}

// A limiter that is no home has nothing to grant, and units that are said to come
// back to it do not.
func TestAskedInError(t *testing.T) {
	tr := newHomeTier(80, plain, TierStarted)
	other := 0
	for tr.account(other).ownerRank >= 0 {
		other++
	}
	l, a := tr.ledgers[other], tr.account(other)
	who := (other + 1) % 80
	l.ObservePeer(who, 5, true, 9, 9, tr.now)
	back := int16(-9 * gossip.UnitParts)
	l.HandleRequest(who, gossip.TransferRequest{Customer: 7, SetSize: 80, Nonce: 9, QuotaWanted: gossip.UnitParts, Consumed: uint16(back), TotalLevel: gossip.UnknownTotal}, tr.now)
	_, answers, _ := l.Compose(who, tr.now)
	if level := l.Level(a, tr.now); level != 0 || len(answers) != 1 || answers[0].QuotaUnits != 0 {
		t.Errorf("level %.1f, answers %+v", level, answers)
	}
}

// What a stand-in granted itself and did not send is its own again.
func TestStandInKeepsItsOwn(t *testing.T) {
	tr := newHomeTier(80, plain, TierStarted)
	who := tr.home(1)
	l, a := tr.ledgers[who], tr.account(who)
	l.peer(tr.home(0)).unresponsive = true
	before := l.Level(a, tr.now)
	if !tr.req(who) {
		t.Fatal("refused with a full store and a silent home")
	}
	l.Refund(a, 1, tr.now)
	if level := l.Level(a, tr.now); level != before || a.unreportedUnits != 0 {
		t.Errorf("level %.1f, it was %.1f; debt %.1f", level, before, a.unreportedUnits)
	}
}

// A home that starts again with nothing grants no fresh burst, however often it does.
func TestHomeRestarts(t *testing.T) {
	for _, n := range []int{9, 20, 80} {
		tr := newHomeTier(n, plain, TierStarted)
		for i := range 3 * n {
			tr.req(i % n)
		}
		home := tr.home(0)
		from, sum := tr.now, 0
		const starts = 3
		for life := range starts {
			l := New(Config{Self: home, Limiters: n, Gossips: true, Plans: []Plan{plain}, Epoch: uint32(1000 + life)}, tr.now)
			l.Resolve(TierRestarted, tr.now)
			tr.ledgers[home] = l
			for i := range 200 {
				if i%n != home && tr.req(i%n) {
					sum++
				}
			}
		}
		due := 5*(tr.now-from).Seconds() + starts*24/2       // half a burst each
		if most := due + float64(n)/4; float64(sum) > most { // credit of those whose ask crossed a start
			t.Errorf("%d limiters: %d granted over %d starts, want %.0f at most", n, sum, starts, most)
		}
	}
}

// In a tier of many most pairs do not talk for seconds: that alone makes no peer dead,
// also when more is asked for here.
func TestQuietPairsLive(t *testing.T) {
	for _, c := range []struct {
		limiters int
		missed   bool
		dead     bool
	}{{80, false, false}, {80, true, true}, {8, false, true}} {
		l := New(Config{Limiters: c.limiters, Gossips: true, Plans: []Plan{plain}, Epoch: 1}, time.Hour)
		now := time.Hour
		peers := c.limiters * 3 / 8
		each := func(rounds, units int, hear bool) {
			for range rounds {
				now += 100 * time.Millisecond
				for who := 1; hear && who <= peers; who++ {
					l.ObservePeer(who, 5, true, 9, 9, now)
				}
				for k := range uint32(400) {
					l.RecordDemand(l.Account(k, 0, 0, 3, now), float64(units), now)
				}
				l.Tick(now)
			}
		}
		each(60, 1, true)
		for who := 1; who <= peers; who++ {
			l.peer(who).unresponsive = c.missed
		}
		each(30, 2, false)
		if dead := l.Counts.PeersDeclaredDead > 0; dead != c.dead {
			t.Errorf("%d limiters, asks unanswered %v: %d taken for dead", c.limiters, c.missed, l.Counts.PeersDeclaredDead)
		}
	}
}
