// Package quota enforces customers' quotas and ceilings over all limiters of a tier.
//
// # Buckets and allocations
//
// A plan gives each customer a token bucket, its quota: it refills at a rate, holds a burst, and every
// request takes units from it. A plan may add a second bucket, the ceiling, which is never exceeded,
// and a number of slots: attempts in flight at once. A set of limiters shares them: a customer's request may
// arrive at any limiter of the set. Limiters exchange small messages that may be lost, repeated, reordered or
// late.
//
// In a set of at most SmallSetSize limiters each bucket is divided into allocations, one for each limiter.
// An allocation has a level in units, refills at its fraction of the rate and holds its fraction of the
// burst. A limiter grants requests from its own allocations without a message. A limiter that runs short
// sends transfer requests to the others. Their grants move units permanently, and lend shares of the rate
// and of the burst, and slots, for LoanDuration: a loan ends by itself, so a limiter that died or is cut
// off does not have to return anything.
//
// In a larger set each limiter receives a customer's requests too rarely to hold units ahead of need. One
// limiter, the owner, chosen by rendezvous hashing, has the customer's complete quota, and the others request
// each request's units from it. Two backup owners decide, in their order, while those before them are silent.
//
// # Guarantees
//
// A ceiling is never exceeded, whatever happens to messages, limiters and clocks within ClockDrift:
// units and shares are moved and never copied, so all allocations together with the units in transit
// never hold more than a single bucket would.
//
// A quota may be exceeded by a bounded debt. A limiter whose allocation runs short may admit a request
// without a grant, if the probability is high enough that the customer's bucket still has the units; its
// level then goes below zero and refills later. In a set with an owner, a limiter that gets no decision
// at all has a small credit instead. docs/design/quota-loss.md has the bounds and their proof.
//
// # Use
//
// A caller creates one Ledger, reports demand by RecordDemand, decides by Reserve, and reports by MarkSent and
// Refund whether reserved units were used. It sends what Compose returns to the peers that TakeReadyPeers lists,
// passes received messages to ObservePeer, HandleRequest and HandleGrant, and calls Tick and Sweep a few times
// a second.
//
// The package does no I/O, reads no clock, draws no random number and starts no goroutine: the same
// calls always give the same results. Nothing in it is safe for concurrent use. Clock times are
// durations since an origin of the caller's choice.
package quota

import "time"

// SmallSetSize is the size up to which each limiter of a set has an allocation of a customer's buckets. In
// a larger set one owner has the complete quota: with more allocations each would hold less than a request
// takes. In a smaller set each limiter receives too many of a customer's requests for an owner to decide on each.
const SmallSetSize = 8

// Bucket holds the settings of a token bucket. A Rate of zero means no limit.
type Bucket struct {
	Rate  float64 // units per second
	Burst float64 // units: the capacity of the bucket
}

// Plan holds the limits of each customer of a plan.
type Plan struct {
	Quota   Bucket
	Ceiling Bucket // a hard limit beside the quota
	Slots   int    // attempts in flight at once; 0 means no limit
	// LeastProbability is the minimum probability, 0 to 1, at which a request may be admitted without a
	// grant.
	LeastProbability float64
}

// Config is the configuration of a Ledger.
type Config struct {
	Self          int    // number of this limiter, from 0
	Limiters      int    // in the tier; less than 1 counts as 1
	GossipEnabled bool   // messages to and from the other limiters are possible
	Plans         []Plan // by index
	Epoch         uint32 // grows with each start of this limiter
	// LongestAttempt is the longest time from a reservation to the end of the attempt that it was made for. 0
	// means that it is not known: a lent slot is then returned only by a message of the borrower.
	LongestAttempt time.Duration
	// MaxAccounts is the number of accounts from which on a peer's request does not add one; 0 means no limit.
	MaxAccounts int
}
