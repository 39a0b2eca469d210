package core

import (
	"slices"
	"time"

	"lemongate/internal/lease"
	"lemongate/internal/rollingrestart"
)

// This file implements the rolling restart: a limiter restarts only with a restart slot, which the lease holder of
// TaskRestarts grants. See docs/design/leases.md.

// TaskRestarts is the task of granting restart slots.
const TaskRestarts = "restarts"

// RestartSlotSettings are the operators' settings of the rolling restart.
type RestartSlotSettings struct {
	MaxConcurrent int           // how many limiters may restart at the same time
	Duration      time.Duration // within which a restart has to begin after its slot is granted
}

// RestartSlotView is the state of the rolling restart as this limiter knows it.
type RestartSlotView struct {
	Enabled     bool          `json:"on"`
	Wanted      bool          `json:"wants"`         // an operator requested a slot for this limiter
	Granted     bool          `json:"has"`           // the restart may begin, within ValidFor
	ValidFor    time.Duration `json:"for"`           // remaining validity of the grant, in nanoseconds
	Reason      string        `json:"why,omitempty"` // why a granted slot is not used
	Restarting  []int         `json:"out"`           // limiters that restart, as far as this limiter knows
	Coordinator int           `json:"holder"`        // the lease holder, as far as this limiter knows; -1 for none
}

// restartSlotState is the state of this limiter as a requester of slots, and as the coordinator if it holds the lease.
type restartSlotState struct {
	enabled     bool
	requester   rollingrestart.Requester
	coordinator *rollingrestart.Coordinator // nil if this limiter does not hold the lease
	token       uint64                      // of the lease of TaskRestarts; 0 for none
}

func newRestartSlotState(config Config) restartSlotState {
	if config.Leases == nil || !slices.Contains(config.Leases.Tasks, TaskRestarts) {
		return restartSlotState{}
	}
	return restartSlotState{enabled: true, requester: rollingrestart.NewRequester(config.Epoch)}
}

// RestartSlots returns the state of the rolling restart.
func (m *Machine) RestartSlots() RestartSlotView {
	view := RestartSlotView{Enabled: m.restartSlots.enabled, Restarting: []int{}, Coordinator: -1}
	if !view.Enabled || m.leases.agent == nil {
		return view
	}
	var until time.Duration
	until, view.Granted, view.Wanted, view.Reason = m.restartSlots.requester.Grant(m.now)
	if view.Granted {
		view.ValidFor = until - m.now
	}
	restarting := rollingrestart.DecodePayload(m.leases.agent.Payload(TaskRestarts))
	view.Restarting = append(view.Restarting, limiterNumbers(restarting)...)
	if coordinator, known := m.leases.agent.Holder(TaskRestarts); known {
		view.Coordinator = int(coordinator)
	}
	return view
}

// limiterNumbers converts limiters to the numbers that events and settings use.
func limiterNumbers(limiters []rollingrestart.Limiter) []int {
	var list []int
	for _, limiter := range limiters {
		list = append(list, int(limiter))
	}
	return list
}

// onRestartSlotRequested records whether an operator wants a slot for this limiter.
func (m *Machine) onRestartSlotRequested(ev RestartSlotRequested) {
	if !m.restartSlots.enabled {
		return
	}
	_, _, wanted, _ := m.restartSlots.requester.Grant(m.now)
	if wanted != ev.Wanted {
		m.restartSlots.requester.SetWanted(ev.Wanted)
	}
	m.runLeases()
}

// onRestartSlotReleased asks the coordinator to free the slot of a limiter that will not return.
func (m *Machine) onRestartSlotReleased(ev RestartSlotReleased) {
	if !m.restartSlots.enabled || m.leases.agent == nil {
		return
	}
	coordinator, known := m.leases.agent.Holder(TaskRestarts)
	if !known {
		return
	}
	m.sendSlotMessage(coordinator, rollingrestart.Message{
		Kind: rollingrestart.SlotRelease, Released: rollingrestart.Limiter(ev.Limiter),
	})
	m.runLeases()
}

// sendSlotMessage sends a message to a limiter, which may be this one.
func (m *Machine) sendSlotMessage(to lease.Limiter, message rollingrestart.Message) {
	if int(to) == m.config.Settings.Self {
		m.handleSlotMessage(to, message)
		return
	}
	m.sendToPeer(int(to), message.Append(nil))
}

// onSlotMessage handles a datagram about restart slots.
func (m *Machine) onSlotMessage(ev *PeerMessageReceived) {
	message, ok := rollingrestart.Parse(ev.Data)
	if !ok || !m.isPeer(ev.From) {
		m.counters.PeerMessagesInvalid++
		return
	}
	m.counters.PeerMessagesReceived++
	if m.restartSlots.enabled && m.leases.agent != nil {
		m.handleSlotMessage(lease.Limiter(ev.From), message)
		m.runLeases()
	}
}

// handleSlotMessage handles a message as the requester or the coordinator.
func (m *Machine) handleSlotMessage(from lease.Limiter, message rollingrestart.Message) {
	switch message.Kind {
	case rollingrestart.SlotGrant:
		m.restartSlots.requester.HandleGrant(m.now, message, m.config.Leases.ClockDrift, m.isLastHolder)
	case rollingrestart.StatusQuery:
		m.sendSlotMessage(from, m.restartSlots.requester.HandleQuery(m.now, message, m.phase == Serving))
	default:
		m.handleCoordinatorMessage(from, message)
	}
}

func (m *Machine) handleCoordinatorMessage(from lease.Limiter, message rollingrestart.Message) {
	coordinator := m.restartSlots.coordinator
	if coordinator == nil {
		return
	}
	switch message.Kind {
	case rollingrestart.SlotRequest:
		coordinator.HandleRequest(m.now, from, message.Nonce)
	case rollingrestart.StatusReply:
		coordinator.HandleReply(from, message)
	case rollingrestart.SlotRelease:
		coordinator.Release(message.Released)
	}
}

// isLastHolder reports whether this limiter is the last one that holds the quota of some customer while others restart:
// the last one of owner and backup owners, or of a small set.
func (m *Machine) isLastHolder(restarting []rollingrestart.Limiter) bool {
	return m.admission.controller.IsLastHolder(limiterNumbers(restarting))
}

// runRestartSlots runs the requester and the coordinator, and returns the clock time at which it must run again, 0 for
// never.
func (m *Machine) runRestartSlots() (due time.Duration) {
	if !m.restartSlots.enabled {
		return 0
	}
	m.updateCoordinator()
	requesterDue := m.runRequester()
	return earlier(requesterDue, m.runCoordinator())
}

// updateCoordinator makes this limiter the coordinator while it holds the lease. Each lease begins with a new
// coordinator, created from the payload that the acceptors store.
func (m *Machine) updateCoordinator() {
	s := &m.restartSlots
	token, _, holds := m.leases.agent.Holds(m.now, TaskRestarts)
	if !holds {
		s.coordinator = nil
		s.token = 0
		return
	}
	if token == s.token {
		return
	}
	settings := m.config.RestartSlots
	payload := m.leases.agent.Payload(TaskRestarts)
	s.coordinator = rollingrestart.NewCoordinator(token, payload, settings.MaxConcurrent, settings.Duration, m.now)
	s.token = token
}

// runRequester sends the coordinator a request for a slot, if one is wanted and the request is due.
func (m *Machine) runRequester() (due time.Duration) {
	message, send, due := m.restartSlots.requester.Tick(m.now)
	coordinator, known := m.leases.agent.Holder(TaskRestarts)
	if send && known {
		m.sendSlotMessage(coordinator, message)
	}
	return due
}

// runCoordinator grants slots once the acceptors have stored which limiters restart. It runs the coordinator a second
// time if that set changes, as the acceptors may store the change at once.
func (m *Machine) runCoordinator() (due time.Duration) {
	coordinator := m.restartSlots.coordinator
	if coordinator == nil {
		return 0
	}
	for range 2 {
		payload := coordinator.Payload()
		stored := payload == 0 || m.leases.agent.SetPayload(m.now, TaskRestarts, payload)
		out, tickDue := coordinator.Tick(m.now, stored)
		for _, envelope := range out {
			m.sendSlotMessage(envelope.To, envelope.Message)
		}
		due = earlier(due, tickDue)
		if coordinator.Payload() == payload {
			break
		}
	}
	return due
}
