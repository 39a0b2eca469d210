package simulation

import (
	"slices"
	"time"

	"lemongate/internal/admission"
	"lemongate/internal/core"
)

// restartSlotPollInterval is how often a limiter that waits for its restart slot is checked.
const restartSlotPollInterval = 50 * time.Millisecond

// restartChecker holds the state of the rolling restarts. checkRestarts checks that no more limiters restart at once
// than MaxRestarting allows, and never all limiters that hold the buckets of one customer.
type restartChecker struct {
	waiting    int          // number of limiters that wait for a restart slot
	restarting map[int]bool // by limiter: killed under a restart slot, and not serving yet
	holderSets [][]int      // of each customer whose buckets several limiters hold: these limiters
}

// requestRestart restarts a limiter once it has a restart slot.
func (w *world) requestRestart(number int, down time.Duration) {
	if w.restarts.restarting == nil {
		w.restarts = restartChecker{restarting: map[int]bool{}, holderSets: w.holderSets()}
	}
	w.restarts.waiting++
	w.restartWithSlot(number, down)
}

// holderSets returns, of each customer whose buckets several limiters hold, these limiters.
func (w *world) holderSets() [][]int {
	var sets [][]int
	for _, c := range w.customers {
		holders := admission.HoldersOf(c.name, c.firstLimiter, c.setSize, w.scenario.Limiters)
		if len(holders) > 1 {
			sets = append(sets, holders)
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

// hasRestartSlot reports whether a limiter has a restart slot. If the limiter has not requested one yet, it does so now.
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

// checkRestarts updates which limiters are restarting under restart slots, and checks the rules for them.
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
	for _, holders := range w.restarts.holderSets {
		if !slices.ContainsFunc(holders, func(n int) bool { return !restarting[n] }) {
			w.breach("limiters %v restart at once: they are all that hold the buckets of one customer", holders)
		}
	}
}
