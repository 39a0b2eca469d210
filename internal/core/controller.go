package core

import (
	"time"

	"lemongate/internal/admission"
)

// This file connects the machine to the admission controller, which decides which requests are forwarded, when and
// to which backend: the machine passes events to it and turns its actions into effects.

// admissionState is the admission controller with its timer, queued events and actions.
type admissionState struct {
	controller *admission.Controller
	timerAt    time.Duration      // clock time for which its timer is set; 0 for none
	events     []admission.Event  // queued; the first is being handled
	actions    []admission.Action // of the event that is being handled
}

func newAdmissionState(config Config) admissionState {
	controller := admission.New(config.Settings, config.Seed)
	controller.LimitCustomers(config.MaxCustomers)
	return admissionState{controller: controller}
}

// stepController passes an event to the admission controller and applies its actions. An event that results from an
// action at once, such as an attempt that is not sent, is queued and handled after all actions, like an event from
// outside.
func (m *Machine) stepController(ev admission.Event) {
	c := &m.admission
	c.events = append(c.events, ev)
	if len(c.events) > 1 {
		return // called while an action is applied: the loop of the outer call handles the event
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

// applyAction applies an action of the admission controller.
func (m *Machine) applyAction(action admission.Action) {
	switch action := action.(type) {
	case admission.StartAttempt:
		m.startAttempt(action)
	case admission.Reject:
		m.endRequest(action.Request, Respond{Kind: Rejected, RetryAfter: action.RetryAfter, Reason: admissionReply(action.Reason)})
	case admission.Fail:
		m.endRequest(action.Request, Respond{Kind: Failed, Reason: admissionReply(action.Reason)})
	case admission.CancelAttempt:
		m.cancelAttempt(AttemptID{action.Request, action.Attempt})
	case admission.SetTimer:
		m.admission.timerAt = action.At
		m.timers.add(timer{at: action.At, kind: controllerTimer})
	case admission.SendToPeer:
		m.sendGossip(action)
	case admission.ProbeBackend:
		m.probeBackend(action.Backend)
	case admission.PollEndpoints: // nothing to do: the endpoint list is watched in any case
	case admission.Log:
		m.emit(Log{Text: action.Text})
	default:
		m.logf("unknown action of the admission controller: %T", action)
	}
}

func (m *Machine) onControllerTimer() {
	m.admission.timerAt = 0
	m.stepController(admission.TimerFired{})
}
