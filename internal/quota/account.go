package quota

import (
	"time"

	"lemongate/internal/rate"
)

// demandMemory is the time constant with which the measured demand decays.
const demandMemory = 2 * time.Second

const demandMemorySeconds = float64(demandMemory) / float64(time.Second)

// largestRequestDecay divides the difference by which a smaller request lowers largestRequest.
const largestRequestDecay = 16

// Account is this limiter's allocations of one customer's buckets, and what it knows of the other limiters'
// allocations. Levels are as of the last call with a clock time.
type Account struct {
	CustomerHash uint32 // hash of the customer's name
	PlanIndex    int    // in Config.Plans
	SlotsInUse   int    // attempts in flight and requests queued for one; set by the caller, see Reserve
	Evicted      bool   // set by Sweep: the caller has to get a new account from Ledger.Account

	ledger       *Ledger
	firstLimiter int // the customer's set: setSize consecutive limiters from this one
	setSize      int
	advancedTo   time.Duration // clock time of the levels
	lastSeen     time.Duration // clock time of the last request

	// Levels of the allocations here, in units. The quota's level is below zero while there is debt.
	quotaLevel    float64
	ceilingLevel  float64
	reservedUnits float64 // reserved and not sent yet: they count against the ceiling's capacity
	evenFraction  float64 // one over the size of the set

	// What this limiter has without loans, by its role in the set:
	//
	//	                 small set     owner                backup owner         other
	//	baseFraction     evenFraction  1                    1                    0
	//	ceilingFraction  evenFraction  ceilingFractions[0]  ceilingFractions[i]  0
	//	baseSlots        even number   all                  0                    0
	//
	// A limiter outside of a small set has nothing.
	baseFraction    float64 // of the quota
	ceilingFraction float64 // of the ceiling
	baseSlots       int

	demand         rate.Decaying // units per second, of granted and rejected requests
	largestRequest float64       // decaying maximum of the units of one request

	// The exchange with other limiters.
	lenders []int   // all other limiters of a small set, each of which may lend; none without gossip
	links   []*link // one for each peer, in the order of first contact

	borrowsSlots bool // is in Ledger.slotBorrowers

	// State that depends on the start state, see StartState.
	unresolvedUnits         float64 // added to quotaLevel if the tier turns out to be new
	admittedWhileUnresolved bool    // a request was admitted without a grant; used only while the start state is unknown
	startedFull             bool    // the bucket was full when the tier started: peers' counts start at 0

	// The customer's complete quota as far as known here, see reconcile.go.
	consumed           uint16  // units consumed here in this epoch, in gossip.UnitParts, modulo 2^16
	totalLevel         float64 // units; below 0 while there is debt
	totalKnown         bool
	unallocatedUnits   float64 // minimum since unallocatedSince of the units in the bucket and in no allocation
	unallocatedReports int     // peers' reports since unallocatedSince
	unallocatedSince   time.Duration

	// Only in a set with an owner, see owner.go.
	owners                []int          // the owner and its backups, in their order
	ownerRank             int            // of this limiter: 0 for the owner, above 0 for a backup owner, else notOwner
	ownerView             ownerView      // as the owner reported last
	credit                rate.Allowance // units that may be consumed here without a decision
	unreportedUnits       float64        // units consumed from credit and not reported to the owner, less those not used
	unreportedDemand      float64        // units of requests here, not reported to the owner
	transferAllowance     float64        // transfer requests to the owner of a hot customer that may be sent
	transferOutstanding   bool           // a client request waits for the owner's decision
	ownerDecision         ownerDecision  // the owner's last reply, until Reserve uses it
	levelHintReceived     bool           // a requester has reported the quota's level
	lastGrantAt           time.Duration
	ceilingInTransit      []inTransit // grants of the ceiling that may not have arrived yet
	ceilingUnitsInTransit float64     // sum of ceilingInTransit
}

// hasSmallSet reports whether the customer's set is small: every limiter of the set has an allocation of both
// buckets. In a large set the owner and its backup owners have them.
func (a *Account) hasSmallSet() bool { return a.setSize <= SmallSetSize }

func (a *Account) plan() *Plan { return &a.ledger.Plans[a.PlanIndex] }

// demandRate returns the demand here in units per second.
func (a *Account) demandRate(now time.Duration) float64 {
	return a.demand.Value(now, demandMemorySeconds)
}

// RecordDemand records a client request for units at this limiter, whether it is granted or not.
func (l *Ledger) RecordDemand(a *Account, units float64, now time.Duration) {
	a.demand.Add(now, units, demandMemorySeconds)
	l.totalDemand.Add(now, units, demandMemorySeconds)
	a.largestRequest = max(units, a.largestRequest+(units-a.largestRequest)/largestRequestDecay)
	a.lastSeen = now
	if !a.hasSmallSet() && a.ownerRank != 0 {
		a.unreportedDemand += units
	}
}

// initSmallSet sets the allocations and lenders of an account of a small set. A limiter outside of the set gets
// no allocations.
func (a *Account) initSmallSet() {
	l := a.ledger
	limiters := a.smallSetLimiters()
	for i, limiter := range limiters {
		switch {
		case limiter == l.Self:
			a.baseFraction = 1 / float64(len(limiters))
			a.ceilingFraction = a.evenFraction
			a.baseSlots = evenSlots(a.plan().Slots, len(limiters), i)
		case l.GossipEnabled:
			a.lenders = append(a.lenders, limiter)
		}
	}
}

// evenSlots returns the number of slots of the limiter at an index if slots are divided evenly among the limiters;
// the first limiters get one more each of those that are left over.
func evenSlots(slots, limiters, index int) int {
	n := slots / limiters
	if index < slots%limiters {
		n++
	}
	return n
}

// smallSetLimiters returns the limiters of a small set. The order differs between customers, so that the slots
// that do not divide evenly are spread over the set.
func (a *Account) smallSetLimiters() []int {
	list := make([]int, a.setSize)
	offset := int(a.CustomerHash) % a.setSize
	for i := range list {
		list[i] = (a.firstLimiter + (i+offset)%a.setSize) % a.ledger.Limiters
	}
	return list
}

// isEvictable reports whether nothing would be lost by evicting an account: its buckets are full and nothing is
// lent, borrowed, reserved or requested.
func (a *Account) isEvictable(now time.Duration) bool {
	a.advance(now)
	for _, lk := range a.links {
		if lk.inUse(now) {
			return false
		}
	}
	plan := a.plan()
	return a.SlotsInUse == 0 && a.reservedUnits == 0 && now >= a.earlierLoansEndedAt() &&
		isFull(a.quotaLevel, a.baseFraction, plan.Quota) && isFull(a.ceilingLevel, a.ceilingFraction, plan.Ceiling)
}

// isFull reports whether an allocation is full, within rounding.
func isFull(level, fraction float64, bucket Bucket) bool {
	const almostFull = 0.999
	return bucket.Rate <= 0 || level >= fraction*bucket.Burst*almostFull
}
