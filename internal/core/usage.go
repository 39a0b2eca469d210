package core

import (
	"slices"

	"lemongate/internal/admission"
	"lemongate/internal/usage"
)

// This file accounts for usage: every limiter records the requests that may have run, and the lease holder of
// TaskUsage collects the records by periods (collection.go). See docs/design/leases.md.

// TaskUsage is the task of writing the tier's usage reports.
const TaskUsage = "rollup"

// usageState is the usage recorded by this limiter, and its work as the collector.
type usageState struct {
	recorder   *usage.Recorder // nil if usage is not accounted for
	collection collection
	counts     UsageCounts
}

// UsageCounts count from the start of the process what this limiter did for usage reports.
type UsageCounts struct {
	Pages    uint64 `json:"pages"`   // pages sent to lease holders
	Written  uint64 `json:"written"` // reports written
	Repeated uint64 `json:"again"`   // those of Written whose period an earlier lease holder may have written
	Missing  uint64 `json:"missing"` // limiters missing in a report, summed over all reports written
	Failed   uint64 `json:"failed"`  // reports that could not be written, and were retried
	Late     uint64 `json:"late"`    // reports that were not written because the lease had ended
}

func newUsageState(config Config) usageState {
	if config.Leases == nil || config.UsagePeriod <= 0 || !slices.Contains(config.Leases.Tasks, TaskUsage) {
		return usageState{}
	}
	return usageState{recorder: usage.NewRecorder(config.Epoch)}
}

// UnreportedUsage returns the units recorded by this limiter that are in no report, if all periods up to written
// are in reports.
func (m *Machine) UnreportedUsage(written uint32) float64 {
	if m.usage.recorder == nil {
		return 0
	}
	return m.usage.recorder.UnreportedUnits(written)
}

// recordUsage records the units of a request that may have run at a backend.
func (m *Machine) recordUsage(r *admission.Request) {
	if m.usage.recorder != nil {
		m.usage.recorder.Add(m.usageKey(r), r.Units)
	}
}

// usageKey returns the key under which the units of a request are recorded.
func (m *Machine) usageKey(r *admission.Request) usage.Key {
	plan := slices.IndexFunc(m.config.Settings.Plans, func(p admission.Plan) bool { return p.Name == r.Plan })
	return usage.Key{Customer: r.Customer, Plan: uint8(max(plan, 0))}
}

// onUsageMessage handles a datagram about usage.
func (m *Machine) onUsageMessage(ev *PeerMessageReceived) {
	if !m.isPeer(ev.From) {
		m.counters.PeerMessagesInvalid++
		return
	}
	if request, ok := usage.ParsePageRequest(ev.Data); ok {
		m.counters.PeerMessagesReceived++
		m.sendUsagePage(ev.From, request)
		return
	}
	if confirmation, ok := usage.ParseConfirmation(ev.Data); ok {
		m.counters.PeerMessagesReceived++
		m.onUsageConfirmation(confirmation)
		return
	}
	m.onUsagePage(ev)
}

func (m *Machine) onUsageConfirmation(confirmation usage.Confirmation) {
	if m.usage.recorder != nil {
		m.usage.recorder.HandleConfirmation(confirmation)
	}
}

// sendUsagePage replies to a page request of the lease holder.
func (m *Machine) sendUsagePage(to int, request usage.PageRequest) {
	if m.usage.recorder == nil {
		return
	}
	reply, ok := m.usage.recorder.HandleRequest(request)
	if !ok {
		return
	}
	m.usage.counts.Pages++
	m.reportInheritedUsage()
	m.sendToPeer(to, reply)
}

// reportInheritedUsage notifies the predecessor, if there is one, before this process sends or writes usage that it
// inherited from the predecessor. If this process then dies, the predecessor must not report that usage again.
func (m *Machine) reportInheritedUsage() {
	if m.usage.recorder.TakeInheritedSent() {
		m.emit(ReportInheritedUsageSent{})
	}
}

// onInheritedUsageSent drops the usage that was handed over: only the successor reports it.
func (m *Machine) onInheritedUsageSent() {
	if m.usage.recorder != nil {
		m.usage.recorder.DropHandedOver()
	}
}

// onUsagePage handles a reply to a query of this limiter as the lease holder.
func (m *Machine) onUsagePage(ev *PeerMessageReceived) {
	c := &m.usage.collection
	if c.phase != collectionQuerying || m.leases.agent == nil {
		m.counters.PeerMessagesReceived++ // valid or not, it arrived too late to be used
		return
	}
	if !c.collector.HandleMessage(usage.Limiter(ev.From), ev.Data) {
		m.counters.PeerMessagesInvalid++
		return
	}
	m.counters.PeerMessagesReceived++
	m.runLeases()
}
