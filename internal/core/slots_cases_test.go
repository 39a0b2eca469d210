package core

import (
	"testing"
	"time"

	"lemongate/internal/admission"
)

// newSlotMachine returns a machine with a plan that allows two attempts in flight.
func newSlotMachine() *Machine {
	settings := testSettings
	settings.Limiters, settings.GossipEnabled = 1, false
	settings.Plans = []admission.Plan{{Name: "small", MaxConcurrent: 2, WeightFactor: 1}}
	endpoints := []Endpoint{
		newEndpoint("a", "h:1", admission.Live, 0), newEndpoint("b", "h:2", admission.Live, 0), newEndpoint("c", "h:3", admission.Live, 0),
	}
	m, _ := New(time.Hour, Config{Settings: settings, Seed: 1, KnownEndpoints: endpoints})
	return m
}

// Guards against a retry of the predecessor without a slot: the predecessor reports the end of the first attempt before
// the start of the second, and between the two reports the successor starts an attempt of its own.
func TestRetryOfPredecessorIsWithinTheSlots(t *testing.T) {
	predecessor, successor := newSlotMachine(), newSlotMachine()
	first := effectsOf[StartAttempt](predecessor.Step(time.Hour, newReadRequest(1, time.Hour, time.Second)))[0]
	for _, open := range predecessor.buildHandoverState().OpenAttempts {
		successor.Step(time.Hour, &PredecessorAttemptStarted{open})
	}
	inFlight := 1
	sendRequest := func(id RequestID) {
		inFlight += len(effectsOf[StartAttempt](successor.Step(time.Hour, newReadRequest(id, time.Hour, time.Second))))
	}
	sendRequest(1000)
	ended := &AttemptFinished{Attempt: first.Attempt, Result: admission.Unreachable}
	for _, effect := range predecessor.Step(time.Hour, ended) {
		switch effect := effect.(type) {
		case ReportAttemptFinished:
			inFlight--
			successor.Step(time.Hour, &PredecessorAttemptFinished{effect.FinishedAttempt})
			sendRequest(1001)
		case ReportAttemptStarted:
			inFlight++
			successor.Step(time.Hour, &PredecessorAttemptStarted{effect.OpenAttempt})
		}
	}
	if inFlight > 2 {
		t.Errorf("%d attempts in flight, want at most 2, one for each slot", inFlight)
	}
}

// Guards against freeing the slots of a predecessor that died: backends may still work on its attempts, as for any
// limiter that restarted.
func TestAttemptsOfPredecessorThatDiedKeepTheirSlots(t *testing.T) {
	successor := newSlotMachine()
	for id := range RequestID(2) {
		request := newReadRequest(id+1, time.Hour, time.Second)
		successor.Step(time.Hour, &PredecessorAttemptStarted{OpenAttempt{Request: request.Request, Backend: "a"}})
	}
	successor.Step(time.Hour, LinkClosed{})
	if started := effectsOf[StartAttempt](successor.Step(time.Hour, newReadRequest(1000, time.Hour, time.Second))); len(started) > 0 {
		t.Error("an attempt started although backends may work on two attempts of the predecessor, want none with two slots")
	}
}
