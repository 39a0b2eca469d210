package quota

import (
	"maps"
	"slices"
	"time"

	"lemongate/internal/gossip"
	"lemongate/internal/rate"
)

// accountsPerSweep bounds how many accounts one call of Sweep looks at.
const accountsPerSweep = 64

// Counters count what became of units and requests since the start of the ledger. The field tags are
// the names that scripts read.
type Counters struct {
	RequestsSent         uint64  `json:"asks"`      // transfer requests, retransmissions included
	GrantsSent           uint64  `json:"answers"`   // grants, retransmissions included
	UnitsReceived        float64 `json:"got"`       // units of quotas that grants brought
	UnitsSent            float64 `json:"moved"`     // units of quotas that grants took away
	UnitsUnacknowledged  float64 `json:"unheard"`   // of UnitsSent, units that arrived or were lost: no message said which
	RateReclaimed        float64 `json:"reclaimed"` // units per second of shares taken back from earlier epochs of peers
	UnitsRecovered       float64 `json:"strayed"`   // units taken up that were unallocated or at a lost peer
	AdmittedWithoutGrant uint64  `json:"on_chance"` // requests
	Waited               uint64  `json:"waited"`    // requests that waited for a grant
	Accounts             int     `json:"accounts"`  // accounts in memory now
	StartState           string  `json:"standing"`  // what the start was taken for
	SilentPeers          int     `json:"silent"`    // peers from which nothing comes now
	PeersDeclaredDead    uint64  `json:"dead"`      // times that a silent peer was declared dead
}

// Ledger is one limiter's part of all customers' quotas and ceilings, and what it knows of the rest.
type Ledger struct {
	Config
	Counts Counters

	startState StartState
	startedAt  time.Duration

	restartedInService bool // a peer had requests before this limiter started

	lastMessageAt time.Duration // when the last message of any peer came

	totalDemand    rate.Decaying // units per second, of all customers here
	meanDemand     float64       // of totalDemand, while no peer is silent
	demandVariance float64       // of totalDemand around its mean
	ticks          int           // in meanDemand and demandVariance

	accounts      map[uint32][]*Account // by the hash of the customer's name, which several may share
	accountOrder  []*Account            // in the order first met, but for what Sweep moved
	sweepIndex    int                   // in accountOrder: where Sweep goes on
	ownedAccounts []*Account            // those that this limiter is the owner of
	hotCursor     int                   // in ownedAccounts: where the search for hot customers goes on
	slotBorrowers []*Account            // with borrowed slots, or messages to send that give them back

	peers      map[int]*peer // by number of the limiter
	readyPeers []int         // peers to send something to, in the order found
	lastNonce  uint16        // of the transfer requests of this limiter
}

// New starts a Ledger at a clock time.
func New(c Config, now time.Duration) *Ledger {
	c.Limiters = max(c.Limiters, 1)
	l := &Ledger{Config: c, startedAt: now, accounts: map[uint32][]*Account{}, peers: map[int]*peer{}}
	if !c.Gossips || c.Limiters == 1 {
		l.startState = TierStarted // no message will ever resolve it
	}
	return l
}

// Account returns the account of a customer, a new one if there is none. The customer's set is size
// limiters in a row from the limiter with number first. Customers whose names share a hash share an
// account only where they have the same plan and set.
func (l *Ledger) Account(hash uint32, plan, first, size int, now time.Duration) *Account {
	a := l.Find(hash, plan, first, size)
	if a == nil {
		a = l.newAccount(hash, plan, first, size, now)
	}
	a.lastSeen = now
	return a
}

// Find returns the account of a customer, nil if there is none. Its parameters are those of Account.
func (l *Ledger) Find(hash uint32, plan, first, size int) *Account {
	first, size = first%l.Limiters, min(max(size, 1), l.Limiters)
	for _, a := range l.accounts[hash] {
		if a.PlanIndex == plan && a.firstLimiter == first && a.setSize == size {
			return a
		}
	}
	return nil
}

// newAccount adds an account as if the customer had been met at the start: most customers come only
// once, and what they gained since is theirs.
func (l *Ledger) newAccount(hash uint32, plan, first, size int, now time.Duration) *Account {
	a := &Account{
		CustomerHash: hash,
		PlanIndex:    plan,
		ledger:       l,
		firstLimiter: first % l.Limiters,
		setSize:      min(max(size, 1), l.Limiters),
		advancedTo:   l.startedAt,
		ownerRank:    notOwner,
	}
	l.accounts[hash] = append(l.accounts[hash], a)
	l.accountOrder = append(l.accountOrder, a)
	a.evenFraction = 1 / float64(a.setSize)
	if !a.isAllocated() {
		a.initOwned()
		a.advance(now)
		return a
	}
	a.initAllocated()
	a.advance(now)
	a.initialLevel(now)
	return a
}

// QuotaLevel returns the units of an account's quota that may be consumed here.
func (l *Ledger) QuotaLevel(a *Account, now time.Duration) float64 {
	a.advance(now)
	return a.quotaLevel
}

// CeilingLevel returns the units of an account's ceiling that may be consumed here.
func (l *Ledger) CeilingLevel(a *Account, now time.Duration) float64 {
	a.advance(now)
	return a.ceilingLevel
}

// Counters returns the counters as of a clock time.
func (l *Ledger) Counters(now time.Duration) Counters {
	c := l.Counts
	c.Accounts, c.StartState = len(l.accountOrder), l.startState.String()
	for _, peer := range l.peers {
		if peer.known && now-peer.lastReceivedAt > peerSilenceTimeout {
			c.SilentPeers++
		}
	}
	return c
}

// IsLastHolder reports whether, with some other limiters out of service, this one is the last that holds
// any of some customer's buckets: of a large set the last of owner and backup owners, else the last of the
// set.
// A customer of this limiter alone does not count, as no other could ever have its buckets.
func (l *Ledger) IsLastHolder(out []int) bool {
	isIn := func(limiter int) bool { return !slices.Contains(out, limiter) }
	for _, a := range l.accountOrder {
		others := a.otherHolders()
		if len(others) > 0 && !slices.ContainsFunc(others, isIn) {
			return true
		}
	}
	return false
}

// otherHolders are the other limiters that hold any of the account's buckets, none if this one does not.
func (a *Account) otherHolders() []int {
	if a.isAllocated() {
		return a.lenders
	}
	if a.ownerRank == notOwner {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(a.owners), func(limiter int) bool { return limiter == a.ledger.Self })
}

// Sweep forgets some of the accounts that were not used for the idle time, if nothing is lost by that. A
// customer that is met again gets a new account.
func (l *Ledger) Sweep(idle, now time.Duration) {
	for range min(accountsPerSweep, len(l.accountOrder)) {
		if l.sweepIndex >= len(l.accountOrder) {
			l.sweepIndex = 0
		}
		a := l.accountOrder[l.sweepIndex]
		if now-a.lastSeen <= idle || !a.isAsNew(now) {
			l.sweepIndex++
			continue
		}
		l.forget(a)
		last := len(l.accountOrder) - 1
		l.accountOrder[l.sweepIndex] = l.accountOrder[last]
		l.accountOrder[last] = nil
		l.accountOrder = l.accountOrder[:last]
	}
}

// forget takes an account out of all lists but accountOrder.
func (l *Ledger) forget(a *Account) {
	isForgotten := func(other *Account) bool { return other == a }
	remaining := slices.DeleteFunc(l.accounts[a.CustomerHash], isForgotten)
	l.accounts[a.CustomerHash] = remaining
	if len(remaining) == 0 {
		delete(l.accounts, a.CustomerHash)
	}
	a.Forgotten = true
	l.slotBorrowers = slices.DeleteFunc(l.slotBorrowers, isForgotten)
	if a.ownerRank == 0 {
		l.ownedAccounts = slices.DeleteFunc(l.ownedAccounts, isForgotten)
	}
}

// rebuildDerived builds what follows from the stored fields in a Ledger that was restored. The
// configuration has to be that of the process that stored it.
func (l *Ledger) rebuildDerived(c Config) {
	c.Limiters = max(c.Limiters, 1)
	l.Config = c
	for _, hash := range slices.Sorted(maps.Keys(l.accounts)) {
		for _, a := range l.accounts[hash] {
			l.adopt(a)
		}
	}
}

// adopt adds a restored account to the lists that are not stored.
func (l *Ledger) adopt(a *Account) {
	a.ledger, a.transferOutstanding, a.ownerDecision = l, false, ownerUndecided
	l.accountOrder = append(l.accountOrder, a)
	if a.ownerRank == 0 && !a.isAllocated() {
		l.ownedAccounts = append(l.ownedAccounts, a)
	}
	for _, lk := range a.links {
		if lk.borrowed.slots > 0 {
			l.watchBorrowedSlots(a)
		}
		if lk.queued {
			peer := l.peer(lk.peerID)
			peer.queuedTransferRequests = append(peer.queuedTransferRequests, a)
			l.markReady(lk.peerID, peer)
		}
	}
}

// accountOfGrant returns the account that a grant is about: the one whose transfer request it replies to, or,
// of a grant that nobody requested, the only one with that hash. It returns nil if there is none.
func (l *Ledger) accountOfGrant(peerID int, grant gossip.Grant) *Account {
	list := l.accounts[grant.Customer]
	for _, a := range list {
		for _, lk := range a.links {
			if lk.peerID == peerID && lk.pending && lk.nonce == grant.Nonce {
				return a
			}
		}
	}
	if len(list) == 1 {
		return list[0]
	}
	return nil
}
