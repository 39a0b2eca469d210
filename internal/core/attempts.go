package core

import (
	"time"

	"lemongate/internal/admission"
)

// This file starts attempts, bounds their duration, and takes in their results.

// attempt is an attempt in flight.
type attempt struct {
	request    *request
	backend    string // ID
	startedAt  time.Duration
	underLease bool // a recovery attempt
}

// startAttempt starts an attempt. If it comes too late or would be one too many, the admission
// controller is notified that it was not sent.
func (m *Machine) startAttempt(action admission.StartAttempt) {
	r := m.requests.byID[action.Request]
	if r == nil {
		return
	}
	id := AttemptID{r.ID, r.attempts}
	r.attempts++
	endsAt := r.deadline
	if action.Deadline > 0 {
		endsAt = min(endsAt, action.Deadline)
	}
	token, startBefore, leased := m.startConditions(action)
	if !leased || endsAt <= m.now || !m.mayAttempt(r) || !m.takesAttempts(action.Backend) {
		m.refuseAttempt(r, id, action.Backend)
		return
	}
	m.recordAttempt(r, id, action)
	m.timers.add(timer{at: endsAt, kind: attemptTimer, id: id})
	if m.hotRestart.stateSent {
		m.emit(ReportAttemptStarted{r.openAttempt(id, action.Backend)})
	}
	m.emit(StartAttempt{
		Attempt: id, Backend: action.Backend, Addr: m.endpoints.byID[action.Backend].Addr, Timeout: endsAt - m.now,
		Content: r.Content, Token: token, StartBefore: startBefore,
	})
}

// startConditions returns the token that an attempt carries, 0 for none, and the clock time before
// which it must begin, 0 for no bound. It fails for a recovery attempt whose lease has ended.
func (m *Machine) startConditions(action admission.StartAttempt) (token uint64, startBefore time.Duration, ok bool) {
	if !action.Recovery {
		return 0, action.StartBefore, true
	}
	token, until, ok := m.recoveryLease()
	if action.StartBefore > 0 {
		until = min(until, action.StartBefore)
	}
	return token, until, ok
}

// mayAttempt reports whether a request may have the attempt that was just counted.
func (m *Machine) mayAttempt(r *request) bool {
	return !r.answered && r.attempts <= max(m.config.Settings.MaxAttempts, 1)
}

// takesAttempts reports whether attempts may start at a backend.
func (m *Machine) takesAttempts(backend string) bool {
	endpoint := m.endpoints.byID[backend]
	return endpoint != nil && endpoint.State == admission.Live && endpoint.Addr != ""
}

// refuseAttempt notifies the admission controller that an attempt is not sent.
func (m *Machine) refuseAttempt(r *request, id AttemptID, backend string) {
	m.counters.NotSent++
	m.decide(&admission.AttemptFinished{
		Request: r.ID, Attempt: id.Number, Backend: backend, Result: admission.NotSent, Final: r.answered,
	})
}

func (m *Machine) recordAttempt(r *request, id AttemptID, action admission.StartAttempt) {
	m.counters.AttemptsStarted++
	if id.Number > 0 {
		m.counters.Retries++
	}
	r.openAttempts++
	m.attempts[id] = &attempt{request: r, backend: action.Backend, startedAt: m.now, underLease: action.Recovery}
}

// onAttemptFinished takes in the result of an attempt, unless the attempt was given up before: then it has
// had its result.
func (m *Machine) onAttemptFinished(ev *AttemptFinished) {
	a := m.attempts[ev.Attempt]
	if a == nil {
		return
	}
	m.countAttemptResult(ev)
	if ev.Result == admission.NotSent && ev.StartExpired && a.underLease {
		m.recordLateAction(TaskRecovery)
	}
	if ev.Result == admission.Succeeded {
		a.request.succeeded = true
		m.respond(a.request, Respond{Kind: Served, Response: ev.Response})
	}
	m.closeAttempt(ev.Attempt, ev.Result, ev.Report)
}

func (m *Machine) countAttemptResult(ev *AttemptFinished) {
	m.counters.StaleConns += uint64(ev.StaleConns)
	if ev.ResponseInvalid {
		m.counters.ResponsesInvalid++
	}
	switch ev.Result {
	case admission.NotSent:
		m.counters.NotSent++
	case admission.Errored:
		m.counters.Errored++
	case admission.Rejected:
		m.counters.AttemptsRejected++
	case admission.Unreachable, admission.ConnectFailed:
		m.counters.ConnectsFailed++
	case admission.ConnectionLost:
		m.counters.ConnsLost++
	}
}

// onAttemptTimeout gives up an attempt that takes too long.
func (m *Machine) onAttemptTimeout(id AttemptID) {
	m.emit(CancelAttempt{Attempt: id})
	m.counters.TimedOut++
	m.closeAttempt(id, admission.TimedOut, nil)
}

// cancelAttempt gives up an attempt that the admission controller no longer wants, if it is in flight.
func (m *Machine) cancelAttempt(id AttemptID) {
	if m.attempts[id] == nil {
		return
	}
	m.emit(CancelAttempt{Attempt: id})
	m.closeAttempt(id, admission.Canceled, nil)
}

// withdrawAttempts ends the attempts of a request that have written no byte. The admission
// controller has canceled them already where the settings allow to cancel.
func (m *Machine) withdrawAttempts(r *request) {
	for number := range r.attempts {
		id := AttemptID{r.ID, number}
		if m.attempts[id] != nil {
			m.emit(WithdrawAttempt{Attempt: id})
		}
	}
}

// closeAttempt ends an attempt and notifies the admission controller. The attempt is the final one of its
// request if that is answered.
func (m *Machine) closeAttempt(id AttemptID, result admission.Result, report []float64) {
	a := m.attempts[id]
	r := a.request
	latency := m.now - a.startedAt
	delete(m.attempts, id)
	r.openAttempts--
	if !r.mayHaveRun && !result.NeverRan() {
		r.mayHaveRun = true
		m.recordUsage(&r.Request) // also once the state is sent: this process may admit again
	}
	if m.hotRestart.stateSent {
		m.emit(ReportAttemptFinished{FinishedAttempt{
			Attempt: id, Backend: a.backend, Result: result, Latency: latency, Report: report,
		}})
	}
	m.decide(&admission.AttemptFinished{
		Request: id.Request, Attempt: id.Number, Backend: a.backend, Result: result,
		Latency: latency, Final: r.answered, Report: report,
	})
	m.removeIfFinished(r)
}
