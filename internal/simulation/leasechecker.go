package simulation

import (
	"time"

	"lemongate/internal/core"
	"lemongate/internal/lease"
)

const (
	// leaseCheckInterval is the virtual time between two checks of the leases.
	leaseCheckInterval = 2 * time.Millisecond
	// clockDrift is the bound that limiters assume for the difference between the rates of clocks, as a fraction.
	clockDrift = 0.01
)

// leaseChecker checks the leases of one task from outside of the limiters: by the attempts that reach the backends,
// and by whether each limiter, even a stalled one, holds the lease now by its own clock. At most one limiter may hold
// the lease at a time, and fencing tokens must not decrease.
type leaseChecker struct {
	task               string
	enabled            bool
	maxAttemptToken    uint64          // highest token of the attempts that reached a backend
	maxHeldToken       uint64          // highest token under which a limiter held the lease
	withoutHolderSince time.Duration   // 0 while the lease has a holder
	timesWithoutHolder []time.Duration // durations without a holder
	messagesByReceiver map[int]int     // messages about leases
	leaseBytes         int             // total size of these messages
}

// leaseSettings returns the lease settings of a limiter that starts now.
func (w *world) leaseSettings() *lease.Settings {
	sc := w.scenario.Leases
	return &lease.Settings{
		Tasks:         sc.Tasks,
		AcceptorCount: sc.AcceptorCount,
		Duration:      milliseconds(sc.Duration),
		ClockDrift:    clockDrift,
		MinToken:      uint64(w.now / time.Millisecond),
	}
}

// startLeaseChecker checks the leases periodically from now on, if the scenario has any.
func (w *world) startLeaseChecker() {
	if w.scenario.Leases == nil {
		return
	}
	w.leases = leaseChecker{task: w.scenario.Leases.Tasks[0], enabled: true, messagesByReceiver: map[int]int{}}
	w.after(0, w.checkLeasesPeriodically)
}

func (w *world) checkLeasesPeriodically() {
	w.checkLeases()
	w.after(leaseCheckInterval, w.checkLeasesPeriodically)
}

// holds reports whether a limiter holds the lease now, by its own clock, and returns the token of the lease.
func (w *world) holds(l *limiter) (token uint64, held bool) {
	if l.machine == nil {
		return 0, false
	}
	return l.machine.Holds(l.clock(), w.leases.task)
}

// leaseHolder returns the limiter that holds the lease now, or -1.
func (w *world) leaseHolder() int {
	for i, l := range w.limiters {
		if _, held := w.holds(l); held {
			return i
		}
	}
	return -1
}

// checkLeases checks which limiters hold the lease now, and which are restarting.
func (w *world) checkLeases() {
	holder := -1
	for i, l := range w.limiters {
		token, held := w.holds(l)
		if !held {
			continue
		}
		if holder >= 0 {
			w.result.Overlaps++
			w.breach("limiters %d and %d both hold the lease of %s", holder, i, w.leases.task)
		}
		holder = i
		w.checkHeldToken(i, token)
	}
	w.checkRestarts()
	w.leases.recordTimeWithoutHolder(w.now, holder < 0)
}

// checkHeldToken checks the fencing token under which a limiter holds the lease.
func (w *world) checkHeldToken(limiter int, token uint64) {
	switch {
	case token < w.leases.maxHeldToken:
		w.breach("limiter %d holds the lease under token %d after token %d", limiter, token, w.leases.maxHeldToken)
	case token > w.leases.maxHeldToken:
		w.result.Holders++
		w.leases.maxHeldToken = token
	}
}

// recordTimeWithoutHolder records the start or the end of a time without a lease holder; withoutHolder means that there
// is none now.
func (c *leaseChecker) recordTimeWithoutHolder(now time.Duration, withoutHolder bool) {
	switch {
	case withoutHolder && c.withoutHolderSince == 0:
		c.withoutHolderSince = now
	case !withoutHolder && c.withoutHolderSince > 0:
		c.timesWithoutHolder = append(c.timesWithoutHolder, now-c.withoutHolderSince)
		c.withoutHolderSince = 0
	}
}

// checkToken checks the fencing token of an attempt that has reached a backend.
func (w *world) checkToken(a *attempt) {
	if a.token == 0 {
		return
	}
	w.result.LeasedAttempts++
	if a.token < w.leases.maxAttemptToken {
		w.result.TokenDecreases++
		w.breach("limiter %d starts an attempt under token %d after token %d", a.limiter.number, a.token, w.leases.maxAttemptToken)
	}
	w.leases.maxAttemptToken = max(w.leases.maxAttemptToken, a.token)
}

// recordDatagram counts a datagram, if it is about leases.
func (c *leaseChecker) recordDatagram(e core.SendToPeer) {
	if c.enabled && lease.IsMessage(e.Data) {
		c.messagesByReceiver[e.Peer]++
		c.leaseBytes += len(e.Data)
	}
}

// summarizeLeases stores the measures of the leases in the result. The time before the first lease holder does
// not count. A time without a lease holder that lasts until the end of the run does.
func (w *world) summarizeLeases() {
	c, r := &w.leases, &w.result
	if !c.enabled {
		return
	}
	if c.withoutHolderSince > 0 {
		c.timesWithoutHolder = append(c.timesWithoutHolder, w.now-c.withoutHolderSince)
	}
	for _, duration := range c.timesWithoutHolder[min(len(c.timesWithoutHolder), 1):] {
		ms := float64(duration) / float64(time.Millisecond)
		r.MeanTimeWithoutHolder += ms / float64(len(c.timesWithoutHolder)-1)
		r.MaxTimeWithoutHolder = max(r.MaxTimeWithoutHolder, ms)
	}
	messages := 0
	for _, n := range c.messagesByReceiver {
		messages += n
		r.LeaseBusiest = max(r.LeaseBusiest, float64(n)/w.scenario.Seconds)
	}
	r.LeaseMessages = float64(messages) / w.scenario.Seconds
	r.LeaseBytes = float64(c.leaseBytes) / w.scenario.Seconds
	r.RestartsOpen = w.restarts.waiting + len(w.restarts.restarting)
	w.summarizeUsage()
}
