// Package simulation runs a tier of limiters in virtual time: the state machines and admission
// controllers of the real limiter, with modelled clients and backends, and a network that loses, delays,
// duplicates, reorders and partitions datagrams by schedule. The same Scenario and seed give the same run,
// event for event.
//
// A run is checked from outside of the limiters: by reference token buckets of every customer, which count the
// requests that reach the backends, by the attempts that are at the backends at once, and by what each limiter
// would do under its leases at each time.
package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"lemongate/internal/core"
)

// Observer receives each event that a limiter handled, at the limiter's own time, and the effects that it
// returned. The event is nil for a start. Neither may be kept or changed.
type Observer func(limiter int, now time.Duration, ev core.Event, effects []core.Effect)

// Run runs a Scenario and returns its result.
func Run(sc Scenario, seed uint64) Result { return RunObserved(sc, seed, nil) }

// RunObserved is Run with an Observer; nil for none.
func RunObserved(sc Scenario, seed uint64, observe Observer) Result {
	w := newWorld(sc, seed, observe)
	w.startBackends()
	w.startLimiters()
	w.startTraffic()
	w.startLeaseChecker()
	for _, f := range sc.Faults {
		w.at(start+seconds(f.At), func() { w.startFault(f) })
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
	random        *rand.Rand // of clients, backends and faults
	networkRandom *rand.Rand
	end           time.Duration
	observe       Observer // nil for none

	limiters       []*limiter      // by number; during a hot restart the process that has the sockets
	lostDirections map[[2]int]bool // sender and receiver
	backends       []*backend
	customers      []*customer
	openRequests   map[requestKey]*request
	lastID         uint64 // of requests and idempotency keys
	leases         leaseChecker
	restarts       restartChecker
	usage          usageChecker
	slots          slotChecker

	coreTime   time.Duration // real time that the state machines took
	queueTimes []float64     // ms, see Result.QueueTime50
	result     Result
}

func newWorld(sc Scenario, seed uint64, observe Observer) *world {
	return &world{
		scheduler:      scheduler{now: start},
		scenario:       sc,
		random:         rand.New(rand.NewPCG(seed, 1)),
		networkRandom:  rand.New(rand.NewPCG(seed, 2)),
		end:            start + seconds(sc.Seconds),
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
	at := fmt.Sprintf("%.3f s: ", (w.now - start).Seconds())
	w.result.RecordBreach(at + fmt.Sprintf(format, args...))
}
