package core

import (
	"time"

	"lemongate/internal/admission"
)

// This file starts attempts, bounds their duration, and handles their results.

// attempt is the state of an attempt in flight.
type attempt struct {
	request    *request
	backend    string // ID
	startedAt  time.Duration
	underLease bool // a recovery attempt, made under the lease of TaskRecovery
}

// startAttempt starts an attempt, unless its deadline has passed, the request may have no further attempt, the backend
// takes none, or the lease of a recovery attempt has ended. In these cases it counts the attempt as not sent, and
// notifies the admission controller of that.
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
	token, startBefore, mayStart := m.startConditions(action)
	if !mayStart || endsAt <= m.now || !m.mayAttempt(r) || !m.takesAttempts(action.Backend) {
		m.recordNotSent(r, id, action.Backend)
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

// startConditions returns the fencing token that an attempt carries, 0 for none, and the clock time before which it
// must begin, 0 for no bound. ok is false for a recovery attempt whose lease has ended.
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

// mayAttempt reports whether a request may have its latest attempt, which r.attempts includes.
func (m *Machine) mayAttempt(r *request) bool {
	return !r.answered && r.attempts <= max(m.config.Settings.MaxAttempts, 1)
}

// takesAttempts reports whether attempts may start at a backend.
func (m *Machine) takesAttempts(backend string) bool {
	endpoint := m.endpoints.byID[backend]
	return endpoint != nil && endpoint.State == admission.Live && endpoint.Addr != ""
}

// recordNotSent counts an attempt as not sent and notifies the admission controller.
func (m *Machine) recordNotSent(r *request, id AttemptID, backend string) {
	m.counters.NotSent++
	r.lastResult = admission.NotSent
	m.stepController(&admission.AttemptFinished{
		Request: r.ID, Attempt: id.Number, Backend: backend, Result: admission.NotSent, Final: r.answered,
	})
}

func (m *Machine) recordAttempt(r *request, id AttemptID, action admission.StartAttempt) {
	m.counters.AttemptsStarted++
	if id.Number > 0 {
		m.counters.Retries++
		m.counters.Retried[r.lastResult]++
	}
	m.trace(r, TraceRequest{Step: TraceAttemptStarted, Attempt: id, Backend: action.Backend})
	r.openAttempts++
	m.attempts[id] = &attempt{request: r, backend: action.Backend, startedAt: m.now, underLease: action.Recovery}
}

// onAttemptFinished handles the result of an attempt. It ignores an attempt that was canceled or timed out before: the
// admission controller has been notified of that result.
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

// onAttemptTimeout cancels an attempt that has reached its time limit.
func (m *Machine) onAttemptTimeout(id AttemptID) {
	m.emit(CancelAttempt{Attempt: id})
	m.counters.TimedOut++
	m.closeAttempt(id, admission.TimedOut, nil)
}

// cancelAttempt cancels an attempt at the admission controller's request, if it is in flight.
func (m *Machine) cancelAttempt(id AttemptID) {
	if m.attempts[id] == nil {
		return
	}
	m.emit(CancelAttempt{Attempt: id})
	m.closeAttempt(id, admission.Canceled, nil)
}

// withdrawAttempts withdraws the attempts of a request of which no byte has been written. Where the settings allow
// canceling, the admission controller has canceled them already.
func (m *Machine) withdrawAttempts(r *request) {
	for number := range r.attempts {
		id := AttemptID{r.ID, number}
		if m.attempts[id] != nil {
			m.emit(WithdrawAttempt{Attempt: id})
		}
	}
}

// closeAttempt ends an attempt and notifies the admission controller. The attempt counts as the final one of its
// request if the request is answered.
func (m *Machine) closeAttempt(id AttemptID, result admission.Result, report []float64) {
	a := m.attempts[id]
	r := a.request
	latency := m.now - a.startedAt
	delete(m.attempts, id)
	r.openAttempts--
	r.lastResult = result
	m.trace(r, TraceRequest{Step: TraceAttemptFinished, Attempt: id, Backend: a.backend, Result: result})
	if !r.mayHaveRun && !result.NeverRan() {
		r.mayHaveRun = true
		m.recordUsage(&r.Request) // also after the state was sent to a successor: this process may admit requests again
	}
	if m.hotRestart.stateSent {
		m.emit(ReportAttemptFinished{FinishedAttempt{
			Attempt: id, Backend: a.backend, Result: result, Latency: latency, Report: report,
		}})
	}
	m.stepController(&admission.AttemptFinished{
		Request: id.Request, Attempt: id.Number, Backend: a.backend, Result: result,
		Latency: latency, Final: r.answered, Report: report,
	})
	m.removeIfFinished(r)
}
