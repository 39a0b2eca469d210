// Package lease lets the limiters of a tier agree on one lease holder per task, without any disk. Each
// task has a few acceptors among the limiters; a limiter with the votes of a quorum of them holds the
// task's lease for a limited time. The package does no I/O, reads no clock, draws no random numbers itself
// and starts no goroutine.
//
// The agreement is by ballots, as in PaxosLease. A proposer has a quorum of acceptors promise its
// ballot, and then accept it. An acceptor that has accepted a ballot reports that lease to other
// proposers, and promises them nothing, until the lease duration has passed by its own clock; the lease
// holder stops earlier by its own clock, by as much as the two clocks may drift apart. Each new lease
// has a fencing token greater than those of all leases before it, and may carry a number, the payload,
// which later holders learn.
//
// docs/design/leases.md argues why it is safe, assumption by assumption.
package lease

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"lemongate/internal/quota"
)

// Limiter is the number of one limiter of the tier.
type Limiter = uint16

// Config is the configuration of one task. It is the same at all limiters but for Self, Epoch and
// MinToken.
type Config struct {
	Task       uint32        // ID of the task, see TaskID
	Self       Limiter       // this limiter
	Epoch      uint32        // of this limiter's start, see Ballot.Epoch
	Acceptors  []Limiter     // of the task, see AcceptorsOf
	Candidates int           // how many limiters may want the lease; up to unscaledCandidates, 0 included, backoffs are not scaled
	Duration   time.Duration // of a lease, by an acceptor's clock
	ClockDrift float64       // see Settings.ClockDrift
	MinToken   uint64        // every token is greater than this: the wall clock at the start, in ms
}

// Quorum returns the number of acceptors that have to agree. Any two quorums have at least one acceptor in common.
func (c *Config) Quorum() int { return len(c.Acceptors)/2 + 1 }

// HoldDuration returns how long a lease holder may act under its lease, by its own clock, from the start of the
// attempt. An acceptor counts Duration by its own clock from a later time, when it accepts the ballot. The hold
// duration ends before that as long as no clock drifts by more than ClockDrift: the rates of two clocks then differ
// by up to twice that.
func (c *Config) HoldDuration() time.Duration {
	return c.durationFraction(1 - 2*c.ClockDrift)
}

func (c *Config) durationFraction(fraction float64) time.Duration {
	return time.Duration(float64(c.Duration) * fraction)
}

// TaskID returns the ID of a task in messages: a hash of its name.
func TaskID(name string) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name)) // never fails
	return hash.Sum32()
}

// AcceptorsOf returns the acceptors of a task in a tier with the given number of limiters, by rendezvous
// hashing: all limiters compute the same acceptors, and those of different tasks are independent. At most
// max(count, 1) are returned.
func AcceptorsOf(task uint32, limiters, count int) []Limiter {
	all := make([]Limiter, limiters)
	for i := range all {
		all[i] = Limiter(i)
	}
	rank := func(n Limiter) uint64 { return quota.Mix64(uint64(task)<<32 | uint64(n)) }
	slices.SortFunc(all, func(a, b Limiter) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b))
	})
	return all[:min(max(count, 1), limiters)]
}
