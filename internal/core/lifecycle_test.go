package core

import (
	"slices"
	"testing"
	"time"

	"lemongate/internal/admission"
	"lemongate/internal/hotrestart"
)

// The phases follow one another, each with the effects with which it begins.
func TestPhases(t *testing.T) {
	m := newTestMachine(t)
	ready := effectsOf[SetReady](m.Step(time.Hour+discoveryTimeout-1, TimerFired{}))
	if len(ready) != 0 || m.Phase() != Starting {
		t.Errorf("before discoveryTimeout, without a list: %v, want no SetReady and phase starting", ready)
	}
	ready = effectsOf[SetReady](m.Step(time.Hour+discoveryTimeout, TimerFired{}))
	if len(ready) != 1 || !ready[0].Ready || m.Phase() != Serving {
		t.Errorf("at discoveryTimeout, without a list: %v, want one SetReady true and phase serving", ready)
	}
	at := time.Hour + 10*time.Second
	got := m.Step(at, ShutdownRequested{})
	ready = effectsOf[SetReady](got)
	if len(ready) != 1 || ready[0].Ready || len(effectsOf[DrainClientConns](got)) != 1 || m.Phase() != Draining {
		t.Errorf("the shutdown request caused %+v, want SetReady false, DrainClientConns and phase draining", got)
	}
	if got := m.Step(at+acceptGrace-1, ShutdownRequested{}); len(effectsOf[CloseServer](got)) != 0 {
		t.Errorf("before the end of acceptGrace: effects %+v, want no CloseServer", got)
	}
	closing := effectsOf[CloseServer](m.Step(at+acceptGrace, TimerFired{}))
	if want := maxKillDeadline + killAfter - acceptGrace - killMargin; len(closing) != 1 || closing[0].Within != want {
		t.Errorf("%+v, want one CloseServer within %v", closing, want)
	}
	if got := m.Step(at+time.Second, ServerClosed{}); len(effectsOf[Exit](got)) != 1 || m.Phase() != Stopped {
		t.Errorf("ServerClosed caused %+v, want Exit and phase stopped", got)
	}
}

// A limiter with known endpoints becomes ready soon, without waiting for discovery: after a release discovery replies
// late, and clients wait for the limiter.
func TestReadySoonWithKnownEndpoints(t *testing.T) {
	for _, c := range []struct {
		known   []Endpoint
		timeout time.Duration
	}{{[]Endpoint{newEndpoint("b1", "h:1", admission.Live, 0)}, cachedListTimeout}, {nil, discoveryTimeout}} {
		m := newTestMachine(t, c.known...)
		if m.Step(time.Hour+c.timeout-time.Millisecond, TimerFired{}); m.Phase() != Starting {
			t.Errorf("%d known endpoints: phase %v before %v, want starting", len(c.known), m.Phase(), c.timeout)
		}
		if m.Step(time.Hour+c.timeout, TimerFired{}); m.Phase() != Serving {
			t.Errorf("%d known endpoints: phase %v after %v, want serving", len(c.known), m.Phase(), c.timeout)
		}
	}
}

// A limiter that shuts down before it is ready never becomes ready, but answers the requests it receives.
// A repeated shutdown request changes nothing.
func TestRepeatedShutdownRequest(t *testing.T) {
	endpoint := newEndpoint("b1", "h:1", admission.Live, 0)
	m := newTestMachine(t, endpoint)
	m.Step(time.Hour, ShutdownRequested{})
	list := &EndpointsUpdated{Kind: admission.ListComplete, Endpoints: []Endpoint{endpoint}}
	if got := m.Step(time.Hour+time.Millisecond, list); len(effectsOf[SetReady](got)) > 0 || m.Phase() != Draining {
		t.Errorf("the first list caused %v in phase %v, want no SetReady in phase draining", got, m.Phase())
	}
	receivedAt := time.Hour + 2*time.Millisecond
	started := effectsOf[StartAttempt](m.Step(receivedAt, newReadRequest(1, receivedAt, time.Second)))
	if len(started) != 1 {
		t.Fatalf("started %v, want one attempt", started)
	}
	for _, at := range []time.Duration{time.Hour + 3*time.Millisecond, time.Hour + acceptGrace - time.Millisecond} {
		got := m.Step(at, ShutdownRequested{})
		if len(effectsOf[DrainClientConns](got))+len(effectsOf[CloseServer](got)) > 0 || m.Phase() != Draining {
			t.Errorf("repeated shutdown request caused %v in phase %v, want no DrainClientConns, no CloseServer and phase draining", got, m.Phase())
		}
	}
	m.Step(time.Hour+acceptGrace, TimerFired{})
	got := m.Step(time.Hour+acceptGrace+time.Millisecond, ShutdownRequested{})
	if len(effectsOf[CloseServer](got)) > 0 || m.Phase() != Closing {
		t.Errorf("repeated shutdown request caused %v in phase %v, want no CloseServer and phase closing", got, m.Phase())
	}
	finished := &AttemptFinished{Attempt: started[0].Attempt, Result: admission.Succeeded}
	responses := effectsOf[Respond](m.Step(time.Hour+acceptGrace+2*time.Millisecond, finished))
	if len(responses) != 1 || responses[0].Kind != Served {
		t.Errorf("answered %v, want one response of a backend", responses)
	}
}

// A request that is received after acceptGrace while the process still drains, as it was suspended or a transfer to a
// successor failed first, is answered before the exit: the time to exit counts from the shutdown request.
func TestRequestReceivedLateInDrainIsAnsweredBeforeExit(t *testing.T) {
	const requestedAt = time.Hour + 10*time.Second
	const exitBy = requestedAt + maxKillDeadline + killAfter - killMargin // the deadline of class post is longer
	endpoints := []Endpoint{newEndpoint("b1", "h:1", admission.Live, 0)}
	newMachine := func(hotRestart *hotrestart.Limits) *Machine {
		m, _ := New(time.Hour, Config{Settings: settingsWithFreePlan(), Seed: 1, KnownEndpoints: endpoints, HotRestart: hotRestart})
		if hotRestart != nil {
			m.Step(time.Hour, LinkClosed{}) // there is no predecessor
		}
		m.Step(time.Hour+discoveryTimeout, TimerFired{})
		return m
	}
	limits := hotrestart.DefaultLimits()
	for name, drain := range map[string]func() *Machine{
		"suspended": func() *Machine {
			m := newMachine(nil)
			m.Step(requestedAt, ShutdownRequested{})
			return m
		},
		"after a failed transfer": func() *Machine {
			m := newMachine(&limits)
			m.Step(requestedAt-2, &SuccessorConnected{})
			m.Step(requestedAt-1, &LinkMessageReceived{Kind: hotrestart.Prepared})
			m.Step(requestedAt, ShutdownRequested{})
			m.Step(requestedAt+100*time.Millisecond, LinkClosed{})
			return m
		},
	} {
		m := drain()
		if m.Phase() != Draining {
			t.Fatalf("%s: phase %v, want draining", name, m.Phase())
		}
		at := requestedAt + acceptGrace + 90*time.Millisecond // before the timer of acceptGrace is handled
		request := newReadRequest(1, at, 5*time.Second)
		request.Plan, request.Class = "free", "post"
		effects := m.Step(at, request)
		for len(effectsOf[Respond](effects)) == 0 {
			timer := effectsOf[SetTimer](effects)
			if len(timer) == 0 || timer[0].At > exitBy-exitMargin {
				t.Fatalf("%s: effects %v, want a response or a timer at %v at the latest", name, effects, exitBy-exitMargin)
			}
			effects = m.Step(timer[0].At, TimerFired{})
		}
	}
}

// The time to exit counts from the shutdown request, as the time to SIGKILL does: not from the end of acceptGrace, which
// is noticed late if the process is suspended; and a predecessor, which closes at once, has as much time as any process.
func TestExitTimeCountsFromShutdownRequest(t *testing.T) {
	const requestedAt = time.Hour + 10*time.Second
	const exitTime = maxKillDeadline + killAfter - killMargin // the deadline of class post is longer
	closeServer := func(t *testing.T, effects []Effect, want time.Duration) {
		t.Helper()
		if got := effectsOf[CloseServer](effects); len(got) != 1 || got[0].Within != want {
			t.Errorf("%+v, want one CloseServer within %v", got, want)
		}
	}
	t.Run("alone, suspended across acceptGrace", func(t *testing.T) {
		m := newTestMachine(t)
		m.Step(time.Hour+discoveryTimeout, TimerFired{})
		m.Step(requestedAt, ShutdownRequested{})
		const suspended = 150 * time.Millisecond
		effects := m.Step(requestedAt+acceptGrace+suspended, TimerFired{})
		closeServer(t, effects, exitTime-acceptGrace-suspended)
	})
	handedOver := func(t *testing.T) *Machine {
		limits := hotrestart.DefaultLimits()
		m, _ := New(time.Hour, Config{Settings: testSettings, Seed: 1, HotRestart: &limits})
		m.Step(time.Hour, LinkClosed{}) // there is no predecessor
		m.Step(time.Hour+discoveryTimeout, TimerFired{})
		m.Step(requestedAt-3, &SuccessorConnected{})
		m.Step(requestedAt-2, &LinkMessageReceived{Kind: hotrestart.Prepared})
		m.Step(requestedAt-1, &LinkMessageReceived{Kind: hotrestart.Adopted})
		if m.Phase() != HandedOver {
			t.Fatalf("phase %v, want handed", m.Phase())
		}
		return m
	}
	t.Run("predecessor", func(t *testing.T) {
		closeServer(t, handedOver(t).Step(requestedAt, ShutdownRequested{}), exitTime)
	})
	t.Run("predecessor without a shutdown request", func(t *testing.T) {
		m := handedOver(t)
		limits := hotrestart.DefaultLimits()
		for at := requestedAt; at < requestedAt+limits.ProbationDuration; at += limits.HeartbeatInterval {
			m.Step(at, &LinkMessageReceived{Kind: hotrestart.Heartbeat})
		}
		closeServer(t, m.Step(requestedAt+limits.ProbationDuration, TimerFired{}), exitTime)
	})
}

// A request that arrives on an idle connection while the process ends is answered before the exit, even if
// its client's budget is longer: after the exit no process would answer it.
func TestLateRequestIsAnsweredBeforeExit(t *testing.T) {
	endpoints := []Endpoint{newEndpoint("b1", "h:1", admission.Live, 0)}
	m, _ := New(time.Hour, Config{Settings: settingsWithFreePlan(), Seed: 1, KnownEndpoints: endpoints})
	m.Step(time.Hour, ShutdownRequested{})
	closing := effectsOf[CloseServer](m.Step(time.Hour+acceptGrace, TimerFired{}))
	if len(closing) != 1 || m.Phase() != Closing {
		t.Fatalf("%v in phase %v, want one CloseServer in phase closing", closing, m.Phase())
	}
	exitBy := time.Hour + acceptGrace + closing[0].Within
	for i, at := range []time.Duration{exitBy - 400*time.Millisecond, exitBy - time.Millisecond} {
		ev := newReadRequest(RequestID(i+1), at, time.Second)
		ev.Plan = "free" // requests of this plan are forwarded during the shutdown too
		effects := m.Step(at, ev)
		for len(effectsOf[Respond](effects)) == 0 {
			timer := effectsOf[SetTimer](effects)
			if len(timer) == 0 || timer[0].At > exitBy-exitMargin {
				t.Fatalf("request %d, received %v before the exit: effects %v, want a response or a timer before exitMargin", i, exitBy-at, effects)
			}
			effects = m.Step(timer[0].At, TimerFired{})
		}
	}
	if c := m.Counters(); c.OpenRequests != 0 || c.Rejected+c.Failed != 2 {
		t.Errorf("counters %+v, want two local replies and no open request", c)
	}
}

// The process ends before SIGKILL, which comes by the longest deadline of the classes, 3 s at most. Requests that were open at
// the shutdown request are answered by then, however long their clients wait.
func TestExitIsBeforeKill(t *testing.T) {
	for deadline, killedAfter := range map[time.Duration]time.Duration{
		600 * time.Millisecond: 1300 * time.Millisecond,
		2 * time.Second:        2700 * time.Millisecond,
		20 * time.Second:       3700 * time.Millisecond,
	} {
		settings := settingsWithFreePlan()
		settings.Classes = slices.Clone(settings.Classes[:1])
		settings.Classes[0].Deadline, settings.Classes[0].LatencyObjective = deadline, deadline
		known := []Endpoint{newEndpoint("b1", "h:1", admission.Live, 0)}
		m, _ := New(time.Hour, Config{Settings: settings, Seed: 1, KnownEndpoints: known})
		request := newReadRequest(1, time.Hour, deadline)
		request.Plan = "free"
		if a := effectsOf[StartAttempt](m.Step(time.Hour, request)); len(a) != 1 {
			t.Fatalf("started %+v, want one attempt", a)
		}
		m.Step(time.Hour, ShutdownRequested{})
		killedAt := time.Hour + killedAfter
		closing := effectsOf[CloseServer](m.Step(time.Hour+acceptGrace, TimerFired{}))
		if len(closing) != 1 || time.Hour+acceptGrace+closing[0].Within >= killedAt {
			t.Errorf("deadline %v: %+v after acceptGrace, want the end before SIGKILL %v after the request", deadline, closing, killedAfter)
		}
		answered := false
		for now := time.Hour + acceptGrace; now < killedAt-killMargin; now += time.Millisecond {
			answered = answered || len(effectsOf[Respond](m.Step(now, TimerFired{}))) > 0
		}
		if !answered {
			t.Errorf("deadline %v: the open request was not answered before the end", deadline)
		}
	}
}
