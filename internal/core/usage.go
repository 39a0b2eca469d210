package core

import (
	"encoding/json"
	"slices"
	"time"

	"lemongate/internal/admission"
	"lemongate/internal/usage"
)

// This file is the reducer's side of the roll-up of use: every limiter books what it sent on, and
// the holder of the task's lease collects it and has it written, a period a line. See
// docs/design/leases.md for why no period is written twice.

// TaskUsage is the task of writing the fleet's use.
const TaskUsage = "rollup"

// WriteUsage has a line written that nobody wrote before, unless the instant Before has come.
type WriteUsage struct {
	Token       uint64
	StartBefore time.Duration
	Report      []byte
}

// UsageWritten tells that it was written, or why not. Late: its lease had ended.
type UsageWritten struct {
	Token        uint64
	LeaseExpired bool
	Err          error
}

func (WriteUsage) effect()  {}
func (UsageWritten) event() {}

// A collectionPhase is a stage of a holder's work on a period.
type collectionPhase uint8

const (
	collectionIdle       collectionPhase = iota // until the period is over
	collectionOpening                           // has the keepers told that it is collected
	collectionQuerying                          // asks all limiters
	collectionClaiming                          // has the keepers told that the line is being written
	collectionWriting                           // waits for the line to be written
	collectionConfirming                        // has the keepers told that it is
)

func (p collectionPhase) String() string {
	return [...]string{"rests", "opens", "gathers", "claims", "writes", "confirms"}[p]
}

const (
	writeRetryDelay    = time.Second // after a line that could not be written it is tried once more
	writeStuckLeases   = 4           // lengths without a word from the disk: the task is left to others
	usageReplyFraction = 0.2         // of what a limiter takes in: answers of the roll-up
)

// usageState is what a reducer has of the roll-up; the book is nil where there is none.
type usageState struct {
	recorder     *usage.Recorder
	phase        collectionPhase
	collector    *usage.Collector
	token        uint64        // of the lease that all this is under; 0 for none
	reportedUpTo []uint32      // by limiter: the last period of which a line with its use is known
	collecting   time.Duration // the period that is collected
	nextAt       time.Duration // something is due
	writeStuck   bool          // the disk does not answer
	counts       UsageCounts
}

// UsageCounts count what became of the roll-up here.
type UsageCounts struct {
	Pages   uint64 `json:"pages"`   // told to holders
	Written uint64 `json:"written"` // lines
	Again   uint64 `json:"again"`   // of these, of periods that an earlier holder may have written
	Missing uint64 `json:"missing"` // limiters that were in none of these lines
	Failed  uint64 `json:"failed"`  // lines that could not be written, and were tried again
	Late    uint64 `json:"late"`    // lines not begun as the lease had ended
}

// A periodStage is how far a period is, as the keepers remember.
type periodStage uint8

const (
	periodOpened  periodStage = iota // limiters are asked: there is no line yet
	periodWriting                    // there may be one
	periodWritten                    // there is one
)

// A mark is what the keepers remember of the roll-up: the period that is on, the one before it, and
// its stage. It only grows.
func encodeUsagePayload(after, period uint32, stage periodStage) uint64 {
	return uint64(after)<<33 | uint64(period)<<2 | uint64(stage)
}

func decodeUsagePayload(mark uint64) (after, period uint32, stage periodStage) {
	return uint32(mark >> 33), uint32(mark>>2) & (1<<31 - 1), periodStage(mark & 3)
}

// recordUsage books a try that a backend may have taken.
func (r *Machine) recordUsage(q *admission.Request) {
	if r.usage.recorder != nil {
		r.usage.recorder.Add(r.usageKey(q), q.Units)
	}
}

// UnreportedUsage gives the units booked here that are in no line, as far as periods up to one are in lines.
func (r *Machine) UnreportedUsage(written uint32) float64 {
	if r.usage.recorder == nil {
		return 0
	}
	return r.usage.recorder.UnreportedUnits(written)
}

func (r *Machine) usageKey(q *admission.Request) usage.Key {
	plan := slices.IndexFunc(r.settings.Plans, func(p admission.Plan) bool { return p.Name == q.Plan })
	return usage.Key{Customer: q.Customer, Plan: uint8(max(plan, 0))}
}

// onUsageMessage takes a datagram of the roll-up in.
func (r *Machine) onUsageMessage(ev *PeerMessageReceived) {
	if ev.From < 0 || ev.From >= r.settings.Limiters || ev.From == r.settings.Self {
		r.counters.PeerBad++
		return
	}
	if ask, ok := usage.ParsePageRequest(ev.Data); ok {
		r.counters.PeerIn++
		if r.usage.recorder == nil {
			return
		}
		if answer, ok := r.usage.recorder.HandleRequest(ask); ok {
			r.usage.counts.Pages++
			r.sendDatagram(ev.From, answer)
		}
		return
	}
	if r.usage.phase != collectionQuerying || r.leases.agent == nil {
		r.counters.PeerIn++ // too late to mean anything
		return
	}
	if !r.usage.collector.HandleMessage(usage.Limiter(ev.From), ev.Data) {
		r.counters.PeerBad++
		return
	}
	r.counters.PeerIn++
	r.runLeases()
}

func (r *Machine) sendDatagram(peer int, data []byte) {
	r.counters.PeerOut++
	r.emit(SendToPeer{Peer: peer, Data: data})
}

// runUsage does what is due, where this limiter holds the lease, and tells when it is to be called
// again; 0 for never.
func (r *Machine) runUsage() (due time.Duration) {
	x := &r.usage
	if x.recorder == nil {
		return 0
	}
	token, until, ok := r.leases.agent.Holds(r.now, TaskUsage)
	if !ok {
		x.token, x.phase, x.collector = 0, collectionIdle, nil
		return 0
	}
	if token != x.token {
		r.onUsageLeaseWon(token)
	}
	for {
		was := x.phase
		due = r.stepCollection(until)
		if x.phase == was {
			return due
		}
	}
}

// onUsageLeaseWon begins with what the keepers remember: it goes on with a period that is not written. A line
// that may be there already says so.
func (r *Machine) onUsageLeaseWon(token uint64) {
	x := &r.usage
	after, period, stage := decodeUsagePayload(r.leases.agent.Payload(TaskUsage))
	known := period
	if stage != periodWritten {
		known = after
	}
	x.token, x.phase, x.collector, x.nextAt = token, collectionIdle, nil, r.now+r.config.UsagePeriod
	x.reportedUpTo = make([]uint32, r.settings.Limiters)
	for i := range x.reportedUpTo {
		x.reportedUpTo[i] = known
	}
	if period > 0 && stage != periodWritten {
		r.beginCollection(period, after, stage == periodWriting)
	}
}

// beginCollection begins to collect a period.
func (r *Machine) beginCollection(period, after uint32, again bool) {
	x := &r.usage
	gap := time.Second
	if r.settings.PeerMessagesPerSecond > 0 {
		gap = time.Duration(float64(time.Second) / (r.settings.PeerMessagesPerSecond * usageReplyFraction))
	}
	x.phase, x.collecting, x.nextAt = collectionOpening, r.now, r.now
	x.collector = usage.NewCollector(period, after, x.reportedUpTo, again, x.token, gap, r.now)
	x.collector.KnowsAllReports = r.leases.agent.Payload(TaskUsage) > 0 // else no holder of before is known of
}

// stepCollection does one step of the work on a period.
func (r *Machine) stepCollection(until time.Duration) (due time.Duration) {
	x, agent := &r.usage, r.leases.agent
	switch x.phase {
	case collectionIdle:
		if r.now < x.nextAt {
			return x.nextAt
		}
		_, last, _ := decodeUsagePayload(agent.Payload(TaskUsage))
		r.beginCollection(max(last+1, uint32(r.wallClock()/uint64(r.config.UsagePeriod/time.Millisecond))), last, false)
	case collectionOpening:
		stage := periodOpened
		if x.collector.MayBeReported {
			stage = periodWriting
		}
		if agent.SetPayload(r.now, TaskUsage, encodeUsagePayload(x.collector.Previous, x.collector.Period, stage)) {
			x.phase = collectionQuerying
		}
	case collectionQuerying:
		asks, due := x.collector.Tick(r.now)
		for _, a := range asks {
			if int(a.To) != r.settings.Self {
				r.sendDatagram(int(a.To), a.Request.Append(nil))
			} else if answer, ok := x.recorder.HandleRequest(a.Request); ok {
				x.collector.HandleMessage(a.To, answer)
			}
		}
		if owed := x.collector.PendingPeriod(); owed > 0 { // all keepers lost their memory, and some limiters did not
			r.beginCollection(owed, 0, true)
			return r.now
		}
		if x.collector.Complete() {
			x.phase = collectionClaiming
		}
		return due
	case collectionClaiming:
		if r.now < x.nextAt {
			return x.nextAt
		}
		if agent.SetPayload(r.now, TaskUsage, encodeUsagePayload(x.collector.Previous, x.collector.Period, periodWriting)) {
			x.phase, x.nextAt = collectionWriting, r.now+writeStuckLeases*r.config.Leases.Duration
			r.emit(WriteUsage{Token: x.token, StartBefore: until, Report: r.buildUsageReport()})
		}
	case collectionWriting:
		if r.now < x.nextAt {
			return x.nextAt
		}
		x.writeStuck, x.phase = true, collectionIdle
		r.emit(Log{Text: "the use of a period is not written for long: left to another limiter"})
		r.sendLeaseMessages(agent.SetWanted(r.now, TaskUsage, false, r.random))
	case collectionConfirming:
		if agent.SetPayload(r.now, TaskUsage, encodeUsagePayload(x.collector.Previous, x.collector.Period, periodWritten)) {
			x.reportedUpTo = x.collector.Reported()
			x.phase, x.collector, x.nextAt = collectionIdle, nil, x.collecting+r.config.UsagePeriod
		}
	}
	return 0
}

// buildUsageReport words the line of the period that was collected.
func (r *Machine) buildUsageReport() []byte {
	plans := make([]string, len(r.settings.Plans))
	for i := range plans {
		plans[i] = r.settings.Plans[i].Name
	}
	line := r.usage.collector.Report(plans)
	line.Limiter, line.At = r.settings.Self, time.UnixMilli(int64(r.wallClock())).UTC().Format(time.RFC3339Nano)
	data, _ := json.Marshal(line) // texts and numbers
	return append(data, '\n')
}

// onUsageWritten goes on once the line is on the disk.
func (r *Machine) onUsageWritten(ev UsageWritten) {
	x := &r.usage
	if x.writeStuck && r.leases.agent != nil {
		x.writeStuck = false
		r.sendLeaseMessages(r.leases.agent.SetWanted(r.now, TaskUsage, true, r.random))
	}
	if r.leases.agent == nil || ev.Token != x.token || x.phase != collectionWriting {
		return // the lease is another's by now, who writes the period again
	}
	switch {
	case ev.LeaseExpired:
		x.counts.Late++
		r.leases.agent.RecordLateAction(TaskUsage)
		x.phase, x.nextAt = collectionClaiming, r.now
	case ev.Err != nil:
		x.counts.Failed++
		r.emit(Log{Text: "the use of a period could not be written: " + ev.Err.Error()})
		x.phase, x.nextAt = collectionClaiming, r.now+writeRetryDelay
	default:
		x.phase = collectionConfirming
		x.counts.Written++
		if x.collector.MayBeReported {
			x.counts.Again++
		}
		x.counts.Missing += uint64(x.collector.Missing())
	}
	r.runLeases()
}
