// Package quota holds customers' stores together over the limiters of a tier, by
// rights that are moved and never copied.
//
// Every customer's store is cut into parts, one for each limiter of its set. A
// part has a level, fills by its share of the rate and holds its share of the
// burst. A limiter sends on by its own part alone, so whatever is lost, repeated,
// reordered, delayed or cut, all parts together never hold more than the true
// store. Where one runs short it asks the others, which move units for good and
// lend shares for a time: a lease, by which a limiter that died or is cut off
// gives back what it borrowed without a word.
//
// A ceiling is held by this alone. A quota may also be passed on chance, by a
// bounded debt: see Account.chance and docs/design/quota-loss.md, which has the
// bounds and their proof.
//
// The package does no I/O, reads no clock, draws no random number and starts no
// goroutine: the same calls give the same answers.
package quota

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"lemongate/internal/peermsg"
)

const (
	// Lease is how long a share is lent.
	Lease = 2 * time.Second
	// Drift is the most that a clock may run fast or slow, as a part.
	Drift = 0.01
	// LendMost is the part of its base that a limiter lends at most. What is left
	// is its new life's at once after a restart.
	LendMost = 0.75
	// Holders is how many limiters of a set have a part of a customer's stores at
	// most. A larger set has one, the customer's home, that holds them whole: with
	// many parts each would be under one req, and every limiter that has none would
	// ask them in turn, most often one that is empty. A smaller set meets the customer
	// so often that a home could not say a word to each req at the pace of messages.
	Holders = 8

	fewLimiters = 8 // in a tier of no more each pair has something to tell each other all the time

	lenderWait   = askGivenUp + time.Duration(float64(askGivenUp)*2*Drift)
	lenderLease  = Lease + time.Duration(float64(Lease)*2*Drift)
	demandMemory = 2 * time.Second        // over which demand is seen
	ahead        = 250 * time.Millisecond // of the demand: what a busy limiter keeps in hand
	askRest      = 150 * time.Millisecond // between asks of one customer to one peer
	poorRest     = 500 * time.Millisecond // after an answer that brought next to nothing
	askRepeat    = 70 * time.Millisecond  // without an answer: the ask or the answer is lost
	askGivenUp   = 500 * time.Millisecond // and then the peer is silent
	silentFor    = time.Second            // asked again after this
	newsAfter    = time.Second            // a peer thought to hold nothing is asked again after this
	settleWithin = 500 * time.Millisecond // in which a debt is settled
	strayHeard   = 400 * time.Millisecond // all holders were heard within it
	freshFor     = 3 * time.Second        // after a fresh start nothing was sent on yet that is not told
	strayQuiet   = 3 * time.Second        // or within this, if they wanted next to nothing
	renewWithin  = 800 * time.Millisecond // of its end a loan that is still wanted is asked for again
	strayFor     = 500 * time.Millisecond // and units are astray all that time
	strayViews   = 3                      // and at so many looks
	lookWeight   = 0.05                   // of one look at what is asked for here
	looksLeast   = 10                     // looks before the mean means anything
	riseClear    = 2.0                    // times the usual ups and downs: a rise that stands out
	debtPart     = 1.0                    // of the even part of the burst: debt on chance
	sureChance   = 0.9                    // a req goes at once, without the others' word
	lastChance   = 0.5                    // nor does one whose word nobody can bring, above this ...
	lastLeast    = 0.6                    // ... and this times the least chance that its plan pays for
	unseenLevel  = 0.8                    // of its part: what a peer that told nothing is thought to hold
	unseenDemand = 0.5                    // of its part of the rate: likewise to want
	unseenWay    = 100 * time.Millisecond // what was told is that old when it comes
	unseenMost   = 5 * time.Second        // and counts as at most so old: stores are full again
	unseenLeast  = 0.05                   // of a part of the rate: the least thought to be spent unseen
	spareMargin  = 1.2                    // of its demand: what a lender keeps
	wantMargin   = 1.15                   // of its demand: what a borrower asks for
	shareLeast   = 0.03                   // of the whole: no smaller share is lent
	olderBy      = 2                      // quarters of a second: a peer that served that much longer is older
	olderEpoch   = 10 * time.Second       // an epoch before the known one is believed after this
	dropMost     = 64                     // accounts looked at per Sweep
)

// A Store is a plan's: it fills at Rate (units a second) and holds Burst.
type Store struct{ Rate, Burst float64 }

// A Plan is what a customer's stores are. A zero Rate or no Places means no such
// limit.
type Plan struct {
	Quota, Ceiling Store
	Places         int     // attempts out at once
	Least          float64 // least chance at which a req may go without a right, 0 to 1
}

// Config is what a Ledger is told at its start.
type Config struct {
	Self, Limiters int
	Talks          bool // peers can be told
	Plans          []Plan
	Epoch          uint32 // grows with each start of this limiter
}

// A Standing is what a limiter makes of its start: with nothing in memory, the
// stores may be full (the tier is new) or spent (it was there before).
type Standing uint8

const (
	Unsure   Standing = iota // one req of each customer may go; the rest wait
	Fresh                    // the tier is new: all stores are full
	Returned                 // the others were there before: what this one had is lost, the rest is with them
	Spent                    // all were there before and lost it: the stores hold what they gained since, for sure
)

func (s Standing) String() string { return [...]string{"unsure", "fresh", "returned", "spent"}[s] }

// Counters count what became of rights, in units and numbers, since the start.
type Counters struct {
	Asks      uint64  `json:"asks"`      // sent, repeats included
	Answers   uint64  `json:"answers"`   // sent
	Got       float64 `json:"got"`       // units of quotas that came from others
	Moved     float64 `json:"moved"`     // units that went to others
	Unheard   float64 `json:"unheard"`   // of these, units that came or were lost without a word
	Reclaimed float64 `json:"reclaimed"` // units a second taken back from a peer's earlier life
	Strayed   float64 `json:"strayed"`   // units taken up that no limiter held
	OnChance  uint64  `json:"on_chance"` // reqs let go without a right
	Waited    uint64  `json:"waited"`    // reqs that waited for the others' word
	Accounts  int     `json:"accounts"`  // customers held now
	Standing  string  `json:"standing"`  // what the start was taken for
	Silent    int     `json:"silent"`    // peers that do not answer now
	Dead      uint64  `json:"dead"`      // times that a silent peer was taken for dead
}

// A Ledger is what one limiter holds of all customers' stores. It is not safe
// for concurrent use.
type Ledger struct {
	Config   `json:"-"`
	Count    Counters
	standing Standing
	born     time.Duration
	now      time.Duration // of the last message

	total    decayed // units a second asked for here
	mean     float64 // of total, over meanOver, while all peers are heard
	spread   float64 // mean square of how it strays from that
	looks    int
	accounts map[uint32][]*Account // by the hash of the customer's name, which two may share
	order    []*Account            `json:"-"` // as first met
	swept    int
	peers    map[int]*peer
	nonce    uint16
	homed    []*Account `json:"-"` // those whose home this is
	hotAt    int        // among these: where the search for hot ones goes on
	ready    []int      // peers to be told, in the order found
}

// A peer is another limiter.
type peer struct {
	epoch       uint32
	known       bool
	acked       bool // it knows of this life
	ackedAt     time.Duration
	heard       time.Duration
	silentUntil time.Duration // it left asks unanswered, and is left alone for a while
	missed      bool          // since then nothing came: it is asked, but not waited for
	dead        bool          // silent, and its clients come here: its parts of quotas are shared out
	asks        []*Account    `json:"-"`
	answers     []peermsg.Answer
	waiting     bool // stands in ready
}

// New starts a Ledger at a time.
func New(c Config, now time.Duration) *Ledger {
	c.Limiters = max(c.Limiters, 1)
	l := &Ledger{Config: c, born: now, accounts: map[uint32][]*Account{}, peers: map[int]*peer{}}
	if !c.Talks || c.Limiters == 1 {
		l.standing = Fresh // nothing else could ever tell
	}
	return l
}

// Standing is what the limiter makes of its start.
func (l *Ledger) Standing() Standing { return l.standing }

// Resolve settles what the start left open. Only the first call counts.
func (l *Ledger) Resolve(s Standing, now time.Duration) {
	if l.standing != Unsure || s == Unsure {
		return
	}
	l.standing = s
	for _, a := range l.order {
		a.advance(now)
		if s == Fresh {
			a.quota += a.doubt
			a.begin()
		}
		a.doubt = 0
	}
}

// begin takes the true store for full when all began.
func (a *Account) begin() {
	sent := float64(a.drawn) / peermsg.Part
	a.whole, a.wholly, a.fresh = a.plan().Quota.Burst-sent, true, true
	for i := range a.links {
		if k := &a.links[i]; k.known {
			a.whole -= float64(k.drawn) / peermsg.Part
		}
	}
}

// Account finds or starts a customer's account. Its set is size limiters in a
// row from first. Customers whose names share a hash share an account only where
// they have the same plan and set: none goes by another's settings.
func (l *Ledger) Account(hash uint32, plan, first, size int, now time.Duration) *Account {
	a := l.Find(hash, plan, first, size)
	if a == nil {
		a = &Account{Hash: hash, Plan: plan, ledger: l, first: first % l.Limiters, size: min(max(size, 1), l.Limiters), at: l.born}
		l.accounts[hash] = append(l.accounts[hash], a)
		l.order = append(l.order, a)
		p := a.plan()
		a.even = 1 / float64(a.size)
		a.roof, a.mine = a.even, -1
		if !a.small() {
			a.settleHome(l)
			a.advance(now)
			a.seen = now
			return a
		}
		list := l.holders(a)
		for i, who := range list {
			if who == l.Self {
				a.part = 1 / float64(len(list))
				a.places = p.Places / len(list)
				if i < p.Places%len(list) {
					a.places++
				}
			} else if l.Talks {
				a.lenders = append(a.lenders, who)
			}
		}
		// As if met at the start: what it sent before is not known. Most customers come only once.
		a.advance(now)
		if full := a.part * p.Quota.Burst; l.standing == Fresh {
			a.quota = max(a.quota, full)
			if now-l.born < freshFor {
				a.begin()
			}
		} else if l.standing == Unsure {
			a.doubt = max(full-a.quota, 0)
		}
	}
	a.seen = now
	return a
}

// Find gives a customer's account, nil if there is none.
func (l *Ledger) Find(hash uint32, plan, first, size int) *Account {
	first, size = first%l.Limiters, min(max(size, 1), l.Limiters)
	for _, a := range l.accounts[hash] {
		if a.Plan == plan && a.first == first && a.size == size {
			return a
		}
	}
	return nil
}

// askedOf finds the account that an answer of a peer is about: the one that asked, or of a word
// unasked the only one with that hash.
func (l *Ledger) askedOf(who int, m peermsg.Answer) *Account {
	list := l.accounts[m.Customer]
	for _, a := range list {
		for i := range a.links {
			if k := &a.links[i]; k.peer == who && k.pending && k.nonce == m.Nonce {
				return a
			}
		}
	}
	if len(list) == 1 {
		return list[0]
	}
	return nil
}

// relink builds what follows from the rest in a Ledger that was unpacked from another
// process's. The configuration has to be that one's.
func (l *Ledger) relink(c Config) {
	c.Limiters = max(c.Limiters, 1)
	l.Config = c
	for _, hash := range slices.Sorted(maps.Keys(l.accounts)) {
		for _, a := range l.accounts[hash] {
			a.ledger, a.asked, a.word = l, false, silence
			l.order = append(l.order, a)
			if a.mine == 0 && !a.small() {
				l.homed = append(l.homed, a)
			}
			for i := range a.links {
				if k := &a.links[i]; k.queued {
					p := l.peer(k.peer)
					p.asks = append(p.asks, a)
					l.wants(k.peer, p)
				}
			}
		}
	}
}

// holders are the limiters of a small set, each of which has a base part of the
// stores.
func (l *Ledger) holders(a *Account) []int {
	list := make([]int, a.size)
	turn := int(a.Hash) % a.size // so that odd places are spread over the set
	for i := range list {
		list[i] = (a.first + (i+turn)%a.size) % l.Limiters
	}
	return list
}

// A Word is what the ledger says of a req.
type Word uint8

const (
	Refused Word = iota // beyond the quota or the ceiling, as far as can be known
	Granted             // its units are taken
	Wait                // the others have been asked; Reserve again when they answered
)

// Demand books that a customer asks for units here, whether they are granted or not.
func (l *Ledger) Demand(a *Account, units float64, now time.Duration) {
	a.demand.add(now, units)
	l.total.add(now, units)
	a.largest = max(units, a.largest+(units-a.largest)/16)
	if a.seen = now; !a.small() && a.mine != 0 {
		a.unasked += units
	}
}

// Reserve takes the units of a req if the customer has them, and else says
// whether the others may. With last, nothing is waited for any longer. For a
// refusal it tells how long until the units may be there.
func (l *Ledger) Reserve(a *Account, units float64, last bool, now time.Duration) (Word, time.Duration) {
	a.advance(now)
	if !a.small() {
		return l.reserveLarge(a, units, last, now)
	}
	p := a.plan()
	short, over, place := 0.0, 0.0, 0
	if p.Quota.Rate > 0 && a.quota < units {
		short = units - a.quota
	}
	if p.Ceiling.Rate > 0 {
		over = max(units-a.ceiling, 0)
	}
	if p.Places > 0 && a.Open >= a.limit() {
		place = 1
	}
	if over == 0 && place == 0 && short == 0 {
		l.take(a, units, now)
		return Granted, 0
	}
	chance := 0.0 // a ceiling is no matter of chance
	if over == 0 && place == 0 && a.quota-units >= -a.debtMost() {
		chance = a.chance(units, short, now)
		if l.standing == Unsure && !a.taken && (last || l.allHeard(a)) {
			chance = 1
		}
	}
	if chance < max(p.Least, sureChance) && !last {
		if l.seek(a, short, over, place, now) || l.standing == Unsure && over == 0 && place == 0 && a.doubt >= short {
			return Wait, 0
		}
	}
	if chance > 0 && chance >= max(p.Least, lastChance+lastLeast*p.Least) {
		l.Count.OnChance++
		a.taken = true
		l.take(a, units, now)
		return Granted, 0
	}
	quota, ceiling, _, _ := a.shares(true)
	wait := max(short/max(quota*p.Quota.Rate, 1e-3), over/max(ceiling*p.Ceiling.Rate, 1e-3))
	if place > 0 {
		wait = max(wait, settleWithin.Seconds()/4)
	}
	return Refused, time.Duration(min(wait, 3600) * float64(time.Second))
}

// allHeard tells whether all that may help an account were heard in this life: if
// one of them had served for longer, the start would be no open matter.
func (l *Ledger) allHeard(a *Account) bool {
	for _, who := range a.lenders {
		if !l.peer(who).known {
			return false
		}
	}
	return true
}

// take books units, and sees to it that a busy customer has some in hand.
func (l *Ledger) take(a *Account, units float64, now time.Duration) {
	p := a.plan()
	if p.Quota.Rate > 0 {
		a.quota -= units
		a.whole -= units
		a.drawn += uint16(math.Ceil(units * peermsg.Part))
	}
	if p.Ceiling.Rate > 0 {
		a.ceiling -= units
	}
	a.held += units
	l.seek(a, 0, 0, 0, now)
}

// Sent tells that units taken are on their way to a backend.
func (a *Account) Sent(units float64) { a.held = max(a.held-units, 0) }

// GiveBack returns units that were taken and never sent.
func (l *Ledger) GiveBack(a *Account, units float64, now time.Duration) {
	a.advance(now)
	a.Sent(units)
	if p := a.plan(); p.Quota.Rate > 0 && !a.small() {
		l.returns(a, units, now)
	} else if p.Quota.Rate > 0 {
		a.quota += units
		a.whole += units
		a.drawn -= uint16(math.Ceil(units * peermsg.Part))
	}
	if a.plan().Ceiling.Rate > 0 {
		a.ceiling += units
	}
}

// Freed tells that a place is free again: a borrowed one goes back at once.
func (l *Ledger) Freed(a *Account, now time.Duration) {
	if a.plan().Places <= 0 || a.Open >= a.limit() {
		return
	}
	for i := range a.links {
		k := &a.links[i]
		if k.got.places > 0 {
			k.got.places--
			k.needed = true
			l.queue(a, k, now)
			return
		}
	}
}

// seek asks the others for what an account lacks: for reqs that wait, and ahead
// of need for a busy customer. It tells whether a word is to be waited for.
func (l *Ledger) seek(a *Account, short, over float64, place int, now time.Duration) (waits bool) {
	p := a.plan()
	demand := a.demand.value(now)
	want, overWant := short, over
	if p.Quota.Rate > 0 {
		if keep := demand*ahead.Seconds() + a.largest; a.quota < keep && a.part > 0 {
			want = max(want, keep-a.quota)
		}
	}
	if p.Ceiling.Rate > 0 {
		if keep := demand*ahead.Seconds() + a.largest; a.ceiling < keep {
			overWant = max(overWant, keep-a.ceiling)
		}
	}
	busy := p.Quota.Rate > 0 && demand*wantMargin > a.part*p.Quota.Rate
	if want <= 0 && overWant <= 0 && place == 0 && !(busy && a.renews(now)) {
		return false
	}
	urgent := short > 0 || over > 0 || place > 0
	asked := 0
	for _, who := range a.lenders {
		k := a.link(who)
		peer := l.peer(who)
		if now < peer.silentUntil || peer.dead {
			continue
		}
		if k.pending && now-k.since < askGivenUp {
			if now-k.told > askRepeat && !k.queued {
				l.queue(a, k, now)
			}
			waits = waits || urgent && !peer.missed
			asked++
			continue
		}
		if k.pending { // nothing came
			k.pending = false
			if peer.heard < k.since {
				peer.silentUntil, peer.missed = now+silentFor, true
				continue
			}
		}
		level, theirs := a.estimate(k, now)
		spare := level > a.largest*3/4 && (urgent || level > theirs*ahead.Seconds())
		lendable := p.Quota.Rate > 0 && a.peerPart(who)*p.Quota.Rate > theirs*spareMargin+shareLeast*p.Quota.Rate
		renews := busy && k.got.share > 0 && k.got.until-now < renewWithin
		news := now-k.heard > newsAfter
		ceilings := p.Ceiling.Rate > 0 && overWant > 0
		useful := !k.known || spare || renews || place > 0 || (lendable && busy || ceilings || urgent) && news
		if !useful || now < k.rest {
			continue
		}
		l.number()
		k.pending, k.nonce, k.since, k.told, k.rest = true, l.nonce, now, now, now+askRest
		k.want, k.over, k.wantTo = want, overWant, place
		l.queue(a, k, now)
		asked++
		waits = waits || urgent && !peer.missed
	}
	return waits
}

// renews tells whether a borrowed share is about to end.
func (a *Account) renews(now time.Duration) bool {
	for i := range a.links {
		if got := a.links[i].got; got.share > 0 && got.until-now < renewWithin {
			return true
		}
	}
	return false
}

// queue has a peer told of an account.
func (l *Ledger) queue(a *Account, k *link, now time.Duration) {
	if k.queued {
		return
	}
	k.queued = true
	p := l.peer(k.peer)
	p.asks = append(p.asks, a)
	l.wants(k.peer, p)
}

func (l *Ledger) wants(who int, p *peer) {
	if !p.waiting {
		p.waiting = true
		l.ready = append(l.ready, who)
	}
}

// Ready lists the peers for which there is something new to tell since the last
// call.
func (l *Ledger) Ready() []int {
	list := l.ready
	l.ready = nil
	for _, who := range list {
		l.peers[who].waiting = false
	}
	return list
}

// Owes tells whether a peer waits for an answer. There are no more of them than asks
// come in.
func (l *Ledger) Owes(who int) bool {
	p := l.peers[who]
	return p != nil && len(p.answers) > 0
}

// Wants tells whether a peer is to be asked for something.
func (l *Ledger) Wants(who int) bool {
	p := l.peers[who]
	return p != nil && len(p.asks) > 0
}

// Compose takes from what a peer is to be told what fits into a message, and
// tells whether there is more.
func (l *Ledger) Compose(who int, now time.Duration) (asks []peermsg.Ask, answers []peermsg.Answer, more bool) {
	p := l.peer(who)
	for len(p.asks) > 0 && len(asks) < peermsg.MaxAsks {
		a := p.asks[0]
		p.asks = p.asks[1:]
		k := a.link(who)
		if k.queued = false; !k.pending && !k.needed {
			continue
		}
		if k.needed && !k.pending {
			l.number()
			k.nonce, k.want, k.over, k.wantTo = l.nonce, 0, 0, 0
			if !a.small() {
				k.owe(a)
			}
		}
		k.needed = false
		k.told = now
		asks = append(asks, l.ask(a, k, now))
		l.Count.Asks++
	}
	n := min(len(p.answers), peermsg.MaxAnswers)
	answers, p.answers = p.answers[:n:n], p.answers[n:]
	l.Count.Answers += uint64(n)
	if l.Limiters > Holders && n < tellHot {
		answers = append(answers, l.hot(tellHot-n, now)...)
	}
	if len(p.asks) == 0 {
		p.asks = nil
	}
	return asks, answers, len(p.asks)+len(p.answers) > 0
}

// number moves on to the next name of an ask. None is 0: that is what a home tells
// unasked.
func (l *Ledger) number() {
	if l.nonce++; l.nonce == 0 {
		l.nonce = 1
	}
}

func (l *Ledger) ask(a *Account, k *link, now time.Duration) peermsg.Ask {
	a.advance(now)
	if !a.small() {
		return a.askLarge(k, now)
	}
	quota, _, _, _ := a.shares(true)
	return peermsg.Ask{
		Customer: a.Hash, Plan: uint8(a.Plan), First: uint16(a.first), Size: uint16(a.size), Nonce: k.nonce,
		Want: parts(k.want), Over: parts(k.over), Demand: a.tellDemand(now), Level: a.tellLevel(),
		Drawn: a.drawn, Whole: a.tellWhole(), Share: uint8(min(max(quota-k.got.share, 0), 1) * peermsg.ShareSteps), Held: uint8(min(k.got.places, math.MaxUint8)),
		Places: uint8(k.wantTo),
	}
}

func (a *Account) tellDemand(now time.Duration) uint8 {
	return uint8(min(math.Ceil(a.demand.value(now)/max(a.plan().Quota.Rate, 1e-3)*peermsg.DemandSteps), math.MaxUint8))
}

func (a *Account) tellLevel() int8 {
	return int8(math.Floor(min(max(a.quota/max(a.plan().Quota.Burst, 1e-3), -1), 1) * peermsg.LevelSteps))
}

// parts turns units into the parts that messages count in, rounded down.
func parts(units float64) uint16 {
	return uint16(min(max(units, 0)*peermsg.Part, math.MaxUint16))
}

// peer finds or starts what is remembered of a limiter.
func (l *Ledger) peer(who int) *peer {
	p := l.peers[who]
	if p == nil {
		p = &peer{}
		l.peers[who] = p
	}
	return p
}

// Heard tells that a message came from a peer, in which life that is, whether it
// knows of this life, and for how long reqs came there and here (in quarters of a
// second). It is false where the message is of an earlier life and does not count.
func (l *Ledger) Heard(who int, epoch uint32, knows bool, theirs, ours uint8, now time.Duration) bool {
	p := l.peer(who)
	l.now = now
	if p.known && int32(epoch-p.epoch) < 0 && now-p.heard < olderEpoch {
		return false
	}
	if p.known && p.epoch != epoch {
		p.answers = nil
	}
	p.epoch, p.known, p.heard, p.silentUntil = epoch, true, now, 0
	p.dead, p.missed = theirs == peermsg.Left, false
	if p.dead {
		return true
	}
	if knows && !p.acked {
		p.acked, p.ackedAt = true, now
	}
	if int(theirs) >= int(ours)+olderBy {
		l.Resolve(Returned, now)
	}
	return true
}

// Asked takes in how a customer stands at a peer, and lends what it may.
func (l *Ledger) Asked(who int, m peermsg.Ask, now time.Duration) {
	size := int(m.Size)
	if int(m.Plan) >= len(l.Plans) || int(m.First) >= l.Limiters || size == 0 || size > l.Limiters {
		return
	}
	inSet := func(n int) bool { return (n-int(m.First)+l.Limiters)%l.Limiters < size }
	if !inSet(who) || !inSet(l.Self) {
		return
	}
	seen := now
	if old := l.Find(m.Customer, int(m.Plan), int(m.First), size); old != nil {
		seen = max(old.seen, now-demandMemory)
	}
	a := l.Account(m.Customer, int(m.Plan), int(m.First), size, now)
	a.seen = max(a.seen, seen)
	a.advance(now)
	if !a.small() {
		l.askedLarge(who, a, m, now)
		return
	}
	k := a.link(who)
	a.reconcile(k, m.Level, m.Drawn, m.Demand, m.Whole, now)
	for i := range k.out {
		if k.out[i].nonce == m.Nonce { // the answer was lost
			l.answer(who, k.out[i].answer)
			return
		}
	}
	for i := range k.out { // what was on its way is there by now, or never will be
		k.out[i].units, k.out[i].over = 0, 0
		k.out[i].places = min(k.out[i].places, int(m.Held))
	}
	k.out = slices.DeleteFunc(k.out, func(g grant) bool { return g.share == 0 && g.places == 0 })
	l.answer(who, l.lend(a, k, m, now))
}

func (l *Ledger) answer(who int, m peermsg.Answer) {
	p := l.peer(who)
	p.answers = slices.DeleteFunc(p.answers, func(o peermsg.Answer) bool { return o.Customer == m.Customer })
	p.answers = append(p.answers, m)
	l.wants(who, p)
}

// lend moves units and lends a share to a peer that asks: so much of what both
// hold as is its part of what both want, and of the rate what is not wanted here.
func (l *Ledger) lend(a *Account, k *link, m peermsg.Ask, now time.Duration) peermsg.Answer {
	p := a.plan()
	ready := now >= a.readyAt()
	mine, theirs := a.demand.value(now), k.asks
	weight := 1.0
	if mine+theirs > 0 {
		weight = theirs / (mine + theirs)
	}
	g := grant{nonce: m.Nonce, loan: loan{until: now + lenderLease}, settled: now + lenderWait}
	quota, ceiling, _, overFlying := a.shares(ready)
	lent, most := 0.0, 0.0 // to others, and to this one
	for i := range a.links {
		if o := &a.links[i]; o != k {
			lent += o.lent()
		}
	}
	most = k.lent()
	if p.Quota.Rate > 0 && (m.Want > 0 || m.Demand > 0) {
		spare := min(quota+most-mine*spareMargin/p.Quota.Rate, LendMost*a.part-lent)
		if !ready {
			spare = 0
		}
		lack := min(theirs*wantMargin/p.Quota.Rate, 1) - float64(m.Share)/peermsg.ShareSteps
		if g.share = math.Floor(min(spare, lack)*peermsg.ShareSteps) / peermsg.ShareSteps; g.share < shareLeast {
			g.share = 0
		}
		fair := min((a.quota+max(k.level, -a.quota))*weight-k.level, float64(m.Want)/peermsg.Part)
		if g.share > 0 { // what the smaller part has no room for goes along
			fair = max(fair, a.quota-(quota+most-max(most, g.share))*p.Quota.Burst)
		}
		g.units = float64(parts(min(fair, a.quota))) / peermsg.Part
	}
	if ready && p.Ceiling.Rate > 0 && m.Over > 0 {
		room := LendMost*a.even*p.Ceiling.Burst - (lent+max(g.share, most))*p.Ceiling.Burst - overFlying
		most := a.ceiling * max(weight, 1-mine/max(mine+ceiling*p.Ceiling.Rate, 1e-6))
		g.over = float64(parts(min(most, float64(m.Over)/peermsg.Part, max(room, 0)))) / peermsg.Part
	}
	if free := a.limit() - a.Open; p.Places > 0 && m.Places > 0 && free > 0 {
		g.places = min(int(m.Places), free) + k.lentPlaces()
	}
	a.quota -= g.units
	a.ceiling -= g.over
	l.Count.Moved += g.units
	g.answer = peermsg.Answer{
		Customer: a.Hash, Nonce: m.Nonce, Units: parts(g.units), Over: parts(g.over),
		Share: uint8(math.Round(g.share * peermsg.ShareSteps)), Places: uint8(g.places),
		Drawn: a.drawn, Whole: a.tellWhole(), Demand: a.tellDemand(now),
	}
	k.out = append(k.out, g)
	k.out[len(k.out)-1].answer.Level = a.tellLevel()
	return k.out[len(k.out)-1].answer
}

// Answered takes in what a peer moved here. It gives the account if the answer
// is one to an ask that is out, for reqs that wait.
func (l *Ledger) Answered(who int, m peermsg.Answer, now time.Duration) *Account {
	a := l.askedOf(who, m)
	if a == nil {
		return nil
	}
	a.advance(now)
	if !a.small() {
		l.answeredLarge(who, a, m, now)
		return a
	}
	k := a.link(who)
	if !k.pending || k.nonce != m.Nonce || now >= k.since+askGivenUp {
		return nil
	}
	k.pending = false
	k.got = loan{share: float64(m.Share) / peermsg.ShareSteps, places: int(m.Places), until: k.since + Lease}
	a.quota += float64(m.Units) / peermsg.Part
	a.ceiling += float64(m.Over) / peermsg.Part
	a.reconcile(k, m.Level, m.Drawn, m.Demand, m.Whole, now)
	l.Count.Got += float64(m.Units) / peermsg.Part
	if float64(m.Units)/peermsg.Part < min(k.want, a.largest) {
		k.rest = now + poorRest
	}
	return a
}

// Look takes a view of the peers, every fraction of a second. One that has fallen
// silent is dead or cut off. If it is dead its clients go to the others, and what
// is asked for here rises by one part in as many as are left; if it is cut off it
// does not. Where half of the tier or more is silent it is this one that is cut
// off, and where that rise would stand out from the ups and downs of before, it
// decides; where it would not, the peer counts as cut off, and its parts of quotas
// stay with it. Ceilings are never shared out.
func (l *Ledger) Look(now time.Duration) {
	silent := 0
	for who := range l.Limiters {
		if l.quiet(l.peers[who], now) {
			silent++
		}
	}
	v := l.total.value(now)
	if silent == 0 || l.looks == 0 {
		if l.looks++; l.looks == 1 {
			l.mean = v
		}
		w := max(lookWeight, 1/float64(l.looks))
		off := v - l.mean
		l.mean += w * off
		l.spread += w * (off*off - l.spread)
		return
	}
	active := 1 // what is asked for by few goes up and down with each of them
	for _, a := range l.order {
		if now-a.seen < demandMemory {
			active++
		}
	}
	usual := math.Sqrt(max(l.spread, l.mean*l.mean/float64(active)))
	rise := l.mean * float64(silent) / float64(max(l.Limiters-silent, 1))
	if 2*silent >= l.Limiters || l.looks < looksLeast || rise < riseClear*usual || v-l.mean < rise/2 {
		return
	}
	for who := range l.Limiters {
		if p := l.peers[who]; l.quiet(p, now) && !p.dead {
			p.dead = true
			l.Count.Dead++
		}
	}
}

// quiet tells whether a peer is silent that should not be. In a tier of many most
// pairs have nothing to tell each other for seconds, and only an unanswered ask counts.
func (l *Ledger) quiet(p *peer, now time.Duration) bool {
	return p != nil && p.known && now-p.heard > silentFor && (p.missed || l.Limiters <= fewLimiters)
}

// Alone tells whether, with some other limiters out, this one is the last that holds the stores of a
// customer that was met: of a large set its home and those that stand in, else all of the set. A
// customer of this limiter alone does not count, as nobody else could ever hold it.
func (l *Ledger) Alone(out []int) bool {
	for _, a := range l.order {
		others := a.lenders
		if !a.small() {
			if a.mine < 0 {
				continue
			}
			others = slices.DeleteFunc(slices.Clone(a.homes), func(n int) bool { return n == l.Self })
		}
		if len(others) > 0 && !slices.ContainsFunc(others, func(n int) bool { return !slices.Contains(out, n) }) {
			return true
		}
	}
	return false
}

// Level is what may be sent on here of an account's quota, in units.
func (l *Ledger) Level(a *Account, now time.Duration) float64 {
	a.advance(now)
	return a.quota
}

// Ceiling is likewise what the ceiling's part here allows.
func (l *Ledger) Ceiling(a *Account, now time.Duration) float64 {
	a.advance(now)
	return a.ceiling
}

// Sweep forgets some of the accounts that are as good as new: idle, with full
// stores and nothing lent or borrowed. What is met again starts as full.
func (l *Ledger) Sweep(idle, now time.Duration) {
	for range min(dropMost, len(l.order)) {
		if l.swept >= len(l.order) {
			l.swept = 0
		}
		a := l.order[l.swept]
		if now-a.seen <= idle || !a.full(now) {
			l.swept++
			continue
		}
		same := slices.DeleteFunc(l.accounts[a.Hash], func(o *Account) bool { return o == a })
		if l.accounts[a.Hash] = same; len(same) == 0 {
			delete(l.accounts, a.Hash)
		}
		a.Gone = true
		if a.mine == 0 {
			l.homed = slices.DeleteFunc(l.homed, func(o *Account) bool { return o == a })
		}
		last := len(l.order) - 1
		l.order[l.swept] = l.order[last]
		l.order[last] = nil
		l.order = l.order[:last]
	}
}

// full tells whether nothing would be lost by forgetting an account.
func (a *Account) full(now time.Duration) bool {
	a.advance(now)
	p := a.plan()
	for i := range a.links {
		if k := &a.links[i]; k.got.until > now || len(k.out) > 0 || k.queued || k.pending && now-k.since < askGivenUp {
			return false
		}
	}
	return a.Open == 0 && a.held == 0 && now >= a.readyAt() &&
		(p.Quota.Rate <= 0 || a.quota >= a.part*p.Quota.Burst*0.999) &&
		(p.Ceiling.Rate <= 0 || a.ceiling >= a.roof*p.Ceiling.Burst*0.999)
}

// Counters tells the counters as they stand.
func (l *Ledger) Counters(now time.Duration) Counters {
	c := l.Count
	c.Accounts, c.Standing = len(l.order), l.standing.String()
	for _, p := range l.peers {
		if p.known && now-p.heard > silentFor {
			c.Silent++
		}
	}
	return c
}

// HoldersOf gives the limiters that hold a customer's stores: the home and those that stand in for it, or
// all of a small set.
func HoldersOf(hash uint32, first, size, limiters int) []int {
	size = min(max(size, 1), limiters)
	if size <= Holders {
		return rank(hash, first%limiters, size, limiters, size)
	}
	return rank(hash, first%limiters, size, limiters, homes)
}

// rank gives the n limiters of a set that come first by rendezvous hashing: the
// same at every limiter, whoever asks.
func rank(hash uint32, first, size, limiters, n int) []int {
	type scored struct {
		who   int
		score uint64
	}
	all := make([]scored, 0, size)
	for i := range size {
		who := (first + i) % limiters
		all = append(all, scored{who, Mix(uint64(hash)<<32 | uint64(who))})
	}
	slices.SortFunc(all, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	list := make([]int, 0, n)
	for _, s := range all[:min(n, len(all))] {
		list = append(list, s.who)
	}
	return list
}

// Mix spreads the bits of a number evenly (the finalizer of SplitMix64).
func Mix(v uint64) uint64 {
	v ^= v >> 30
	v *= 0xbf58476d1ce4e5b9
	v ^= v >> 27
	v *= 0x94d049bb133111eb
	return v ^ v>>31
}
