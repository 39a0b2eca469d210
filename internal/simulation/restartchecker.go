package simulation

import (
	"slices"
	"time"

	"lemongate/internal/admission"
	"lemongate/internal/core"
)

// restartSlotPollInterval is how often a limiter that waits for its restart slot is checked.
const restartSlotPollInterval = 50 * time.Millisecond

// restartChecker checks rolling restarts: no more limiters restart at once than MaxRestarting allows, and never
// all limiters that hold the buckets of one customer.
type restartChecker struct {
	waiting    int          // limiters that wait for a restart slot
	restarting map[int]bool // by number: killed under a restart slot, and not serving yet
	ownerSets  [][]int      // the limiters that hold each customer's buckets, if more than one does
}

// requestRestart restarts a limiter once it has a restart slot.
func (w *world) requestRestart(number int, down time.Duration) {
	if w.restarts.restarting == nil {
		w.restarts = restartChecker{restarting: map[int]bool{}, ownerSets: w.ownerSets()}
	}
	w.restarts.waiting++
	w.restartWithSlot(number, down)
}

// ownerSets returns the limiters that hold each customer's buckets, if more than one does.
func (w *world) ownerSets() [][]int {
	var sets [][]int
	for _, c := range w.customers {
		owners := admission.HoldersOf(c.name, c.firstLimiter, c.setSize, w.scenario.Limiters)
		if len(owners) > 1 {
			sets = append(sets, owners)
		}
	}
	return sets
}

// restartWithSlot restarts a limiter if it has a restart slot, and otherwise checks again later.
func (w *world) restartWithSlot(number int, down time.Duration) {
	l := w.limiters[number]
	if !l.hasRestartSlot() {
		w.after(restartSlotPollInterval, func() { w.restartWithSlot(number, down) })
		return
	}
	w.restarts.restarting[number] = true
	w.restarts.waiting--
	l.kill()
	w.after(down, l.bootIfDown)
}

// hasRestartSlot reports whether a limiter has a restart slot, and requests one if the limiter has not yet.
func (l *limiter) hasRestartSlot() bool {
	if l.machine == nil || l.world.now < l.stalledUntil {
		return false
	}
	slots := l.machine.RestartSlots()
	if slots.Granted && slots.ValidFor > 0 {
		return true
	}
	if !slots.Wanted {
		l.post(core.RestartSlotRequested{Wanted: true})
	}
	return false
}

// checkRestarts checks which limiters are restarting under restart slots now.
func (w *world) checkRestarts() {
	restarting := w.restarts.restarting
	for number := range restarting {
		if l := w.limiters[number]; l.machine != nil && l.machine.Phase() == core.Serving {
			delete(restarting, number)
			w.result.Restarted++
		}
	}
	if len(restarting) > w.scenario.Leases.MaxRestarting {
		w.breach("%d limiters restart at once under restart slots", len(restarting))
	}
	if len(restarting) < 2 {
		return
	}
	for _, owners := range w.restarts.ownerSets {
		if !slices.ContainsFunc(owners, func(n int) bool { return !restarting[n] }) {
			w.breach("limiters %v restart at once: they are all that hold the buckets of one customer", owners)
		}
	}
}
