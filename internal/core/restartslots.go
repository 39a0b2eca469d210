package core

import (
	"slices"
	"time"

	"lemongate/internal/lease"
	"lemongate/internal/rollingrestart"
)

// This file is the reducer's side of planned restarts: turns that the holder of the task's lease gives.

// TaskRestarts is the task of giving turns at a planned restart.
const TaskRestarts = "restarts"

// RestartSlots is what the operators set of it.
type RestartSlots struct {
	MaxConcurrent int           // limiters out at once
	Duration      time.Duration // within which a restart has to begin
}

// RestartSlotRequested tells that an operator wants this limiter to have a turn, or no longer.
type RestartSlotRequested struct{ Wanted bool }

// RestartSlotReleased tells that a limiter that is out will not come back.
type RestartSlotReleased struct{ Limiter int }

func (RestartSlotRequested) event() {}
func (RestartSlotReleased) event()  {}

// A RestartSlotView is how planned restarts stand, as seen here.
type RestartSlotView struct {
	Enabled     bool          `json:"on"`
	Wanted      bool          `json:"wants"`
	Granted     bool          `json:"has"`           // the restart may begin, within For
	ValidFor    time.Duration `json:"for"`           // ns
	Reason      string        `json:"why,omitempty"` // a turn came to nothing
	Restarting  []int         `json:"out"`           // limiters that are out, as far as known here
	Coordinator int           `json:"holder"`        // who gives turns, as far as known here; -1 for nobody
}

// restartSlots is what a reducer has of planned restarts.
type restartSlots struct {
	enabled     bool
	requester   rollingrestart.Requester
	coordinator *rollingrestart.Coordinator // nil where this limiter does not hold the lease
	token       uint64                      // of that lease
}

// sendSlotMessage sends a message, to this limiter itself too.
func (r *Machine) sendSlotMessage(to lease.Limiter, m rollingrestart.Message) {
	if int(to) == r.settings.Self {
		r.handleSlotMessage(to, m)
		return
	}
	r.sendDatagram(int(to), m.Append(nil))
}

// onSlotMessage takes a datagram about turns in.
func (r *Machine) onSlotMessage(ev *PeerMessageReceived) {
	m, ok := rollingrestart.Parse(ev.Data)
	if !ok || ev.From < 0 || ev.From >= r.settings.Limiters || ev.From == r.settings.Self {
		r.counters.PeerBad++
		return
	}
	r.counters.PeerIn++
	if r.restartSlots.enabled && r.leases.agent != nil {
		r.handleSlotMessage(lease.Limiter(ev.From), m)
		r.runLeases()
	}
}

func (r *Machine) handleSlotMessage(from lease.Limiter, m rollingrestart.Message) {
	x := &r.restartSlots
	switch m.Kind {
	case rollingrestart.SlotRequest:
		if x.coordinator != nil {
			x.coordinator.HandleRequest(r.now, from, m.Nonce)
		}
	case rollingrestart.StatusReply:
		if x.coordinator != nil {
			x.coordinator.HandleReply(from, m)
		}
	case rollingrestart.SlotRelease:
		if x.coordinator != nil {
			x.coordinator.Release(m.Released)
		}
	case rollingrestart.SlotGrant:
		x.requester.HandleGrant(r.now, m, r.config.Leases.ClockDrift, func(out []rollingrestart.Limiter) bool {
			return r.controller.IsLastOwner(slices.Collect(sortedNumbers(out)))
		})
	case rollingrestart.StatusQuery:
		r.sendSlotMessage(from, x.requester.HandleQuery(r.now, m, r.phase == Serving))
	}
}

func sortedNumbers(list []rollingrestart.Limiter) func(func(int) bool) {
	return func(yield func(int) bool) {
		for _, n := range list {
			if !yield(int(n)) {
				return
			}
		}
	}
}

// runRestartSlots does what is due, and tells when it is to be called again; 0 for never.
func (r *Machine) runRestartSlots() (due time.Duration) {
	x, agent := &r.restartSlots, r.leases.agent
	if !x.enabled {
		return 0
	}
	soon := func(at time.Duration) {
		if at > 0 && (due == 0 || at < due) {
			due = at
		}
	}
	token, _, holds := agent.Holds(r.now, TaskRestarts)
	switch {
	case !holds:
		x.coordinator, x.token = nil, 0
	case token != x.token:
		x.coordinator = rollingrestart.NewCoordinator(token, agent.Payload(TaskRestarts), r.config.RestartSlots.MaxConcurrent, r.config.RestartSlots.Duration, r.now)
		x.token = token
	}
	m, send, at := x.requester.Tick(r.now)
	soon(at)
	if who, known := agent.Holder(TaskRestarts); send && known {
		r.sendSlotMessage(who, m)
	}
	if x.coordinator == nil {
		return due
	}
	for range 2 { // what is to stand may stand at once
		mark := x.coordinator.Payload()
		out, at := x.coordinator.Tick(r.now, mark == 0 || agent.SetPayload(r.now, TaskRestarts, mark))
		for _, e := range out {
			r.sendSlotMessage(e.To, e.Message)
		}
		soon(at)
		if x.coordinator.Payload() == mark {
			break
		}
	}
	return due
}

// requestSlot takes an operator's word.
func (r *Machine) requestSlot(want bool) {
	if r.restartSlots.enabled {
		if _, _, wants, _ := r.restartSlots.requester.Slot(r.now); wants != want {
			r.restartSlots.requester.SetWanted(want)
		}
		if r.leases.agent != nil {
			r.runLeases()
		}
	}
}

// releaseSlot has the place of a limiter freed by who holds the lease.
func (r *Machine) releaseSlot(n int) {
	if who, known := r.leases.agent.Holder(TaskRestarts); known && r.restartSlots.enabled {
		r.sendSlotMessage(who, rollingrestart.Message{Kind: rollingrestart.SlotRelease, Released: rollingrestart.Limiter(n)})
		r.runLeases()
	}
}

// RestartSlots tells how planned restarts stand.
func (r *Machine) RestartSlots() RestartSlotView {
	v := RestartSlotView{Enabled: r.restartSlots.enabled, Restarting: []int{}, Coordinator: -1}
	if !v.Enabled || r.leases.agent == nil {
		return v
	}
	var until time.Duration
	until, v.Granted, v.Wanted, v.Reason = r.restartSlots.requester.Slot(r.now)
	if v.Granted {
		v.ValidFor = until - r.now
	}
	v.Restarting = append(v.Restarting, slices.Collect(sortedNumbers(rollingrestart.DecodePayload(r.leases.agent.Payload(TaskRestarts))))...)
	if who, known := r.leases.agent.Holder(TaskRestarts); known {
		v.Coordinator = int(who)
	}
	return v
}
