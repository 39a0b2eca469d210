package core

import (
	"slices"
	"testing"
	"time"

	"lemongate/internal/admission"
)

// follow hands a successor what a predecessor reports of its attempts and requests.
func follow(successor *Machine, effects []Effect) {
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

// startedOf starts requests at a successor and returns how many of them have an attempt in flight.
func startedOf(successor *Machine, first RequestID, requests int) (started int) {
	for i := range requests {
		started += len(effectsOf[StartAttempt](successor.Step(time.Hour, readRequest(first+RequestID(i), time.Hour, time.Second))))
	}
	return started
}

// The slot of a predecessor's request is free at the successor at once when the request ended, with whichever result,
// and held while it may be retried; also for what is reported before the successor has applied the state.
func TestSlotOfPredecessorIsFreedWithItsRequest(t *testing.T) {
	for name, test := range map[string]struct {
		end  func(predecessor *Machine, first AttemptID) []Effect
		free int
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
		for _, early := range []bool{false, true} {
			predecessor, successor := newSlotMachine(), newSlotMachine()
			first := effectsOf[StartAttempt](predecessor.Step(time.Hour, readRequest(1, time.Hour, time.Second)))[0]
			state := predecessor.packState()
			successor.hotRestart.received = &state
			if !early {
				successor.startAdmitting()
			}
			follow(successor, test.end(predecessor, first.Attempt))
			if early {
				successor.startAdmitting()
			}
			if got := startedOf(successor, requestIDGap*2, 3); got != test.free {
				t.Errorf("%s, before the state is applied %v: %d attempts start, %d slots are free", name, early, got, test.free)
			}
		}
	}
}

// The end of a request is reported where its plan has slots, and once.
func TestEndOfARequestIsReportedForPlansWithSlots(t *testing.T) {
	for plan, want := range map[string]int{"small": 1, "free": 0} {
		m := newSlotMachine()
		if plan == "free" {
			m.config.Settings.Plans = []admission.Plan{{Name: "small", WeightFactor: 1}}
		}
		first := effectsOf[StartAttempt](m.Step(time.Hour, readRequest(1, time.Hour, time.Second)))[0]
		m.packState()
		effects := slices.Clone(m.Step(time.Hour, &ClientDisconnected{Request: 1}))
		effects = append(effects, m.Step(time.Hour, &AttemptFinished{Attempt: first.Attempt, Result: admission.NotSent})...)
		effects = append(effects, m.Step(time.Hour, &AttemptFinished{Attempt: first.Attempt, Result: admission.NotSent})...)
		if got := effectsOf[ReportRequestEnded](effects); len(got) != want {
			t.Errorf("%s: %v, want %d reports", plan, got, want)
		}
	}
}
