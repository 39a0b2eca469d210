package core

import (
	"slices"
	"testing"
	"time"

	"lemongate/internal/admission"
)

// deliverReports passes what a predecessor reports of its attempts and requests to a successor.
func deliverReports(successor *Machine, effects []Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case ReportAttemptStarted:
			successor.Step(time.Hour, &PredecessorAttemptStarted{effect.OpenAttempt})
		case ReportAttemptFinished:
			successor.Step(time.Hour, &PredecessorAttemptFinished{effect.FinishedAttempt})
		case ReportRequestEnded:
			successor.Step(time.Hour, PredecessorRequestEnded(effect))
		}
	}
}

// sendRequests sends requests to a successor and returns how many attempts it starts.
func sendRequests(successor *Machine, first RequestID, requests int) (started int) {
	for i := range requests {
		started += len(effectsOf[StartAttempt](successor.Step(time.Hour, newReadRequest(first+RequestID(i), time.Hour, time.Second))))
	}
	return started
}

// The slot of a predecessor's request must be free at the successor as soon as the request has ended, with any result,
// and held while the request may be retried, also if the reports arrive before the successor has applied the state.
func TestSlotOfPredecessorIsFreedWithItsRequest(t *testing.T) {
	for name, test := range map[string]struct {
		endFirstAttempt func(predecessor *Machine, first AttemptID) []Effect
		freeSlots       int
	}{
		"succeeded": {func(predecessor *Machine, first AttemptID) []Effect {
			return predecessor.Step(time.Hour, &AttemptFinished{Attempt: first, Result: admission.Succeeded})
		}, 2},
		"retried": {func(predecessor *Machine, first AttemptID) []Effect {
			return predecessor.Step(time.Hour, &AttemptFinished{Attempt: first, Result: admission.Unreachable})
		}, 1},
		"retried, and disconnected": {func(predecessor *Machine, first AttemptID) []Effect {
			effects := slices.Clone(predecessor.Step(time.Hour, &AttemptFinished{Attempt: first, Result: admission.Unreachable}))
			effects = append(effects, predecessor.Step(time.Hour, &ClientDisconnected{Request: first.Request})...)
			retry := AttemptID{first.Request, first.Number + 1}
			return append(effects, predecessor.Step(time.Hour, &AttemptFinished{Attempt: retry, Result: admission.NotSent})...)
		}, 2},
		"disconnected": {func(predecessor *Machine, first AttemptID) []Effect {
			effects := slices.Clone(predecessor.Step(time.Hour, &ClientDisconnected{Request: first.Request}))
			return append(effects, predecessor.Step(time.Hour, &AttemptFinished{Attempt: first, Result: admission.NotSent})...)
		}, 2},
		"waits for its retry": {func(predecessor *Machine, first AttemptID) []Effect {
			predecessor.Step(time.Hour, &EndpointsUpdated{Kind: admission.ListCached})
			return predecessor.Step(time.Hour, &AttemptFinished{Attempt: first, Result: admission.Unreachable})
		}, 1},
		"waits for its retry, and disconnected": {func(predecessor *Machine, first AttemptID) []Effect {
			predecessor.Step(time.Hour, &EndpointsUpdated{Kind: admission.ListCached})
			effects := slices.Clone(predecessor.Step(time.Hour, &AttemptFinished{Attempt: first, Result: admission.Unreachable}))
			return append(effects, predecessor.Step(time.Hour, &ClientDisconnected{Request: first.Request})...)
		}, 2},
	} {
		for _, reportedFirst := range []bool{false, true} {
			predecessor, successor := newSlotMachine(), newSlotMachine()
			first := effectsOf[StartAttempt](predecessor.Step(time.Hour, newReadRequest(1, time.Hour, time.Second)))[0]
			state := predecessor.buildHandoverState()
			successor.hotRestart.received = &state
			if !reportedFirst {
				successor.startAdmitting()
			}
			deliverReports(successor, test.endFirstAttempt(predecessor, first.Attempt))
			if reportedFirst {
				successor.startAdmitting()
			}
			if got := sendRequests(successor, requestIDGap*2, 3); got != test.freeSlots {
				t.Errorf("%s, reported before the state is applied: %v: %d attempts started, want %d, one for each free slot", name, reportedFirst, got, test.freeSlots)
			}
		}
	}
}

// The end of a request is reported once, and only if its plan has slots.
func TestEndOfARequestIsReportedForPlansWithSlots(t *testing.T) {
	for plan, want := range map[string]int{"small": 1, "free": 0} {
		m := newSlotMachine()
		if plan == "free" {
			m.config.Settings.Plans = []admission.Plan{{Name: "small", WeightFactor: 1}}
		}
		first := effectsOf[StartAttempt](m.Step(time.Hour, newReadRequest(1, time.Hour, time.Second)))[0]
		m.buildHandoverState()
		effects := slices.Clone(m.Step(time.Hour, &ClientDisconnected{Request: 1}))
		effects = append(effects, m.Step(time.Hour, &AttemptFinished{Attempt: first.Attempt, Result: admission.NotSent})...)
		effects = append(effects, m.Step(time.Hour, &AttemptFinished{Attempt: first.Attempt, Result: admission.NotSent})...)
		if got := effectsOf[ReportRequestEnded](effects); len(got) != want {
			t.Errorf("plan %s: ends of requests reported: %v, want %d", plan, got, want)
		}
	}
}
