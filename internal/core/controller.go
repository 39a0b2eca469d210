package core

import (
	"time"

	"lemongate/internal/admission"
)

// This file is the bridge to the admission controller, which decides which requests are forwarded,
// when and to which backend: events go to it, and its actions become effects.

// controllerBridge is the admission controller, with its timer, queued events and actions.
type controllerBridge struct {
	controller *admission.Controller
	timerAt    time.Duration      // clock time of its timer in force; 0 for none
	events     []admission.Event  // queued; the first is being handled
	actions    []admission.Action // of the event that is being handled
}

// decide hands an event to the admission controller and carries out its actions. An event that an action
// brings about at once, such as an attempt that is not sent, is handled after all actions, as if it came
// from outside.
func (m *Machine) decide(ev admission.Event) {
	c := &m.admission
	c.events = append(c.events, ev)
	if len(c.events) > 1 {
		return // the loop below runs further up the stack, and gets there
	}
	for len(c.events) > 0 {
		c.actions = c.controller.Handle(m.now, c.events[0], c.actions[:0])
		for _, action := range c.actions {
			m.applyAction(action)
		}
		c.events = c.events[1:]
	}
	c.events = nil
}

// applyAction carries out an action of the admission controller.
func (m *Machine) applyAction(action admission.Action) {
	switch action := action.(type) {
	case admission.StartAttempt:
		m.startAttempt(action)
	case admission.Reject:
		m.endRequest(action.Request, Respond{Kind: Rejected, RetryAfter: action.RetryAfter})
	case admission.Fail:
		m.endRequest(action.Request, Respond{Kind: Failed})
	case admission.CancelAttempt:
		m.cancelAttempt(AttemptID{action.Request, action.Attempt})
	case admission.SetTimer:
		m.admission.timerAt = action.At
		m.timers.add(timer{at: action.At, kind: controllerTimer})
	case admission.SendToPeer:
		m.sendGossip(action)
	case admission.ProbeBackend:
		m.probeBackend(action.Backend)
	case admission.PollEndpoints: // the endpoint list is watched in any case
	case admission.Log:
		m.emit(Log{Text: action.Text})
	default:
		m.logf("unknown action %T", action)
	}
}

func (m *Machine) onControllerTimer() {
	m.admission.timerAt = 0
	m.decide(admission.TimerFired{})
}
