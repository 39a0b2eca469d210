package quota

import (
	"maps"
	"slices"
	"time"

	"lemongate/internal/gossip"
	"lemongate/internal/rate"
)

// accountsPerSweep bounds the number of accounts that one call of Sweep examines.
const accountsPerSweep = 64

// Counters count units and requests since the start of the ledger, by what happened to them. The field tags are
// the names that scripts read.
type Counters struct {
	RequestsSent         uint64  `json:"asks"`      // transfer requests, retransmissions included
	GrantsSent           uint64  `json:"answers"`   // grants, retransmissions included
	UnitsReceived        float64 `json:"got"`       // units of quotas received in grants
	UnitsSent            float64 `json:"moved"`     // units of quotas sent in grants
	UnitsUnacknowledged  float64 `json:"unheard"`   // of UnitsSent, units that were not acknowledged: received or lost
	RateReclaimed        float64 `json:"reclaimed"` // units per second of shares taken back from earlier epochs of peers
	UnitsRecovered       float64 `json:"strayed"`   // units recovered that were unallocated or at a lost peer
	AdmittedWithoutGrant uint64  `json:"on_chance"` // requests
	Waited               uint64  `json:"waited"`    // requests that waited for a grant
	Accounts             int     `json:"accounts"`  // accounts in memory now
	StartState           string  `json:"standing"`  // name of the start state
	SilentPeers          int     `json:"silent"`    // peers that send no messages now
	PeersDeclaredDead    uint64  `json:"dead"`      // times that a silent peer was declared dead
}

// Ledger is one limiter's allocations of all customers' buckets, and what it knows of the other limiters' allocations.
type Ledger struct {
	Config
	Counts Counters

	startState StartState
	startedAt  time.Duration

	restartedInService bool // a peer had requests before this limiter started

	lastMessageAt time.Duration // when the last message of any peer arrived

	totalDemand    rate.Decaying // units per second, of all customers here
	meanDemand     float64       // of totalDemand, while no peer is silent
	demandVariance float64       // of totalDemand around its mean
	ticks          int           // number of ticks in meanDemand and demandVariance

	accounts      map[uint32][]*Account // by the hash of the customer's name, which several customers may share
	accountOrder  []*Account            // in the order of creation, except for those that Sweep moved
	sweepIndex    int                   // in accountOrder: where Sweep continues
	ownedAccounts []*Account            // those that this limiter is the owner of
	hotCursor     int                   // in ownedAccounts: where the search for hot customers continues
	slotBorrowers []*Account            // with borrowed slots, or with messages to send that return slots

	peers      map[int]*peer // by number of the limiter
	readyPeers []int         // peers with queued messages, in the order of queueing
	lastNonce  uint16        // of the transfer requests of this limiter
}

// New returns a Ledger that starts at a clock time.
func New(c Config, now time.Duration) *Ledger {
	c.Limiters = max(c.Limiters, 1)
	l := &Ledger{Config: c, startedAt: now, accounts: map[uint32][]*Account{}, peers: map[int]*peer{}}
	if !c.GossipEnabled || c.Limiters == 1 {
		l.startState = TierStarted // no message will ever resolve it
	}
	return l
}

// Account returns the account of a customer, a new one if there is none. The customer's set is size
// consecutive limiters from the limiter with number first. Customers whose names share a hash share an
// account only if they have the same plan and set.
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

// newAccount adds an account that has refilled since the start of the ledger, as if it had existed from then on:
// most customers send requests only once, and are entitled to the refill since.
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
	if !a.hasSmallSet() {
		a.initLargeSet()
		a.advance(now)
		return a
	}
	a.initSmallSet()
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

// IsLastHolder reports whether, if the limiters in out are out of service, this limiter is the last that
// holds any of some customer's buckets: in a large set the last of owner and backup owners, else the last of
// the set. A customer of this limiter alone does not count, as no other limiter could ever have its buckets.
func (l *Ledger) IsLastHolder(outOfService []int) bool {
	isInService := func(limiter int) bool { return !slices.Contains(outOfService, limiter) }
	for _, a := range l.accountOrder {
		others := a.otherHolders()
		if len(others) > 0 && !slices.ContainsFunc(others, isInService) {
			return true
		}
	}
	return false
}

// otherHolders returns the other limiters that hold any of the account's buckets, none in a large set if this
// limiter holds none.
func (a *Account) otherHolders() []int {
	if a.hasSmallSet() {
		return a.lenders
	}
	if a.ownerRank == notOwner {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(a.owners), func(limiter int) bool { return limiter == a.ledger.Self })
}

// Sweep evicts accounts that have not been used for longer than the idle time, if their eviction loses no state. A
// customer that sends a request again gets a new account. One call examines up to accountsPerSweep accounts.
func (l *Ledger) Sweep(idle, now time.Duration) {
	for range min(accountsPerSweep, len(l.accountOrder)) {
		if l.sweepIndex >= len(l.accountOrder) {
			l.sweepIndex = 0
		}
		a := l.accountOrder[l.sweepIndex]
		if now-a.lastSeen <= idle || !a.isEvictable(now) {
			l.sweepIndex++
			continue
		}
		l.evict(a)
		last := len(l.accountOrder) - 1
		l.accountOrder[l.sweepIndex] = l.accountOrder[last]
		l.accountOrder[last] = nil
		l.accountOrder = l.accountOrder[:last]
	}
}

// evict removes an account from all lists but accountOrder.
func (l *Ledger) evict(a *Account) {
	isEvicted := func(other *Account) bool { return other == a }
	remaining := slices.DeleteFunc(l.accounts[a.CustomerHash], isEvicted)
	l.accounts[a.CustomerHash] = remaining
	if len(remaining) == 0 {
		delete(l.accounts, a.CustomerHash)
	}
	a.Evicted = true
	l.slotBorrowers = slices.DeleteFunc(l.slotBorrowers, isEvicted)
	if a.ownerRank == 0 {
		l.ownedAccounts = slices.DeleteFunc(l.ownedAccounts, isEvicted)
	}
}

// rebuildDerived rebuilds what is derived from the stored fields, in a Ledger that was restored. The
// configuration has to be that of the process that stored it.
func (l *Ledger) rebuildDerived(c Config) {
	c.Limiters = max(c.Limiters, 1)
	l.Config = c
	for _, hash := range slices.Sorted(maps.Keys(l.accounts)) {
		for _, a := range l.accounts[hash] {
			l.addRestored(a)
		}
	}
}

// addRestored adds a restored account to the lists that are not stored.
func (l *Ledger) addRestored(a *Account) {
	a.ledger, a.transferOutstanding, a.ownerDecision = l, false, ownerUndecided
	l.accountOrder = append(l.accountOrder, a)
	if a.ownerRank == 0 && !a.hasSmallSet() {
		l.ownedAccounts = append(l.ownedAccounts, a)
	}
	for _, lk := range a.links {
		if lk.borrowed.slots > 0 {
			l.trackBorrowedSlots(a)
		}
		if lk.queued {
			peer := l.peer(lk.peerID)
			peer.queuedTransferRequests = append(peer.queuedTransferRequests, a)
			l.markReady(lk.peerID, peer)
		}
	}
}

// accountOfGrant returns the account that a grant is about: the one whose transfer request it replies to, or,
// if there is none, the only account with that hash. It returns nil if there is neither.
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
