// Package simulation runs a tier of limiters in virtual time: the state machines and admission controllers of the real
// limiter, with modelled clients and backends, and a network that loses, delays, duplicates, reorders and partitions
// datagrams as the scenario says. The same Scenario and seed give the same run, event for event.
//
// A run is checked from outside of the limiters: by reference token buckets of every customer, which count the requests
// that reach the backends; by the attempts that are at the backends at once; and by which limiters hold a lease, or
// restart, at each time.
package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"lemongate/internal/core"
)

// Observer receives each event that a limiter handled, at the time of the limiter's own clock, and the effects that the
// limiter returned. The event is nil for the start of a process. The Observer must not keep or change either.
type Observer func(limiter int, now time.Duration, ev core.Event, effects []core.Effect)

// Run runs a Scenario and returns its result.
func Run(sc Scenario, seed uint64) Result { return RunObserved(sc, seed, nil) }

// RunObserved is Run with an Observer; nil means none.
func RunObserved(sc Scenario, seed uint64, observe Observer) Result {
	w := newWorld(sc, seed, observe)
	w.startBackends()
	w.startLimiters()
	w.startTraffic()
	w.startLeaseChecker()
	for _, f := range sc.Faults {
		w.at(runStart+seconds(f.At), func() { w.startFault(f) })
	}
	w.runUntil(w.end)
	r := w.finish()
	if sc.limitsSlots() {
		w.probeSlots()
		w.summarizeProbe(&r)
	}
	return r
}

// world is the state of a run.
type world struct {
	scheduler
	scenario      Scenario
	random        *rand.Rand    // for clients, backends and faults
	networkRandom *rand.Rand    // for the network
	end           time.Duration // virtual time at which the run ends
	observe       Observer      // nil for none

	limiters       []*limiter      // by number; during a hot restart, the process that has the sockets
	lostDirections map[[2]int]bool // pairs of sender and receiver
	backends       []*backend
	customers      []*customer
	openRequests   map[requestKey]*request
	lastID         uint64 // last number used for a request or an idempotency key
	leases         leaseChecker
	restarts       restartChecker
	usage          usageChecker
	slots          slotChecker

	coreTime   time.Duration // real time that the state machines took to handle events
	queueTimes []float64     // ms, see Result.QueueTime50
	result     Result
}

func newWorld(sc Scenario, seed uint64, observe Observer) *world {
	return &world{
		scheduler:      scheduler{now: runStart},
		scenario:       sc,
		random:         rand.New(rand.NewPCG(seed, 1)),
		networkRandom:  rand.New(rand.NewPCG(seed, 2)),
		end:            runStart + seconds(sc.Seconds),
		observe:        observe,
		lostDirections: map[[2]int]bool{},
		openRequests:   map[requestKey]*request{},
	}
}

// exponential returns an exponentially distributed random duration.
func (w *world) exponential(mean time.Duration) time.Duration {
	return time.Duration(w.random.ExpFloat64() * float64(mean))
}

// zone returns the name of the zone of a limiter or backend.
func (w *world) zone(number int) string { return string(rune('a' + number%max(w.scenario.Zones, 1))) }

// epoch returns the epoch of a limiter that starts now.
func (w *world) epoch() uint32 { return uint32(w.now/time.Millisecond) + 1 }

// breach records a breach of a rule at the current time.
func (w *world) breach(format string, args ...any) {
	at := fmt.Sprintf("%.3f s: ", (w.now - runStart).Seconds())
	w.result.RecordBreach(at + fmt.Sprintf(format, args...))
}
