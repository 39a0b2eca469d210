package core

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"lemongate/internal/hotrestart"
)

// closingModel is a predecessor of which the edges know whether its server was closed.
type closingModel struct {
	t       *rapid.T
	machine *Machine
	now     time.Duration
	timerAt time.Duration
	paused  bool // accepting
	closed  bool // CloseServer was emitted
}

// step hands an event to the machine, and checks that a closed server is not paused or resumed.
func (m *closingModel) step(ev Event) {
	for _, e := range m.machine.Step(m.now, ev) {
		switch e := e.(type) {
		case PauseListeners, ResumeListeners:
			_, m.paused = e.(PauseListeners)
			if m.closed {
				m.t.Fatalf("%T after CloseServer", e)
			}
		case CloseServer:
			if m.closed {
				m.t.Fatal("closed twice")
			}
			m.closed = true
		case SetTimer:
			m.timerAt = e.At
		}
	}
}

// pass lets time pass, and fires the timer at its end if it is due: a process that was suspended is late.
func (m *closingModel) pass(by time.Duration) {
	m.now += by
	if m.timerAt <= m.now {
		m.timerAt = m.now + time.Hour // until the next SetTimer
		m.step(TimerFired{})
	}
}

// Whatever the other process of a hot restart sends, and whenever it ends or a shutdown is requested, accepting is
// neither paused nor resumed once the server was closed.
func TestListenersStayAsTheyAreAfterClose(t *testing.T) {
	closedWhilePaused, closedAccepting := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		limits := hotrestart.DefaultLimits()
		m := &closingModel{t: t, now: time.Hour, timerAt: 2 * time.Hour}
		m.machine, _ = New(m.now, Config{Settings: testSettings, Seed: 1, HotRestart: &limits})
		m.step(LinkClosed{}) // there is no predecessor
		m.pass(discoveryTimeout)
		t.Repeat(map[string]func(*rapid.T){
			"connect successor": func(*rapid.T) { m.step(&SuccessorConnected{}) },
			"end link":          func(*rapid.T) { m.step(LinkClosed{}) },
			"receive message": func(t *rapid.T) {
				kinds := []hotrestart.Kind{hotrestart.Prepared, hotrestart.Adopted, hotrestart.Heartbeat}
				m.step(&LinkMessageReceived{Kind: rapid.SampledFrom(kinds).Draw(t, "kind")})
			},
			"pass": func(t *rapid.T) {
				m.pass(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
			},
			"shut down": func(t *rapid.T) {
				if rapid.IntRange(0, 4).Draw(t, "sure") == 0 {
					m.step(ShutdownRequested{})
				}
			},
		})
		switch {
		case m.closed && m.paused:
			closedWhilePaused++
		case m.closed:
			closedAccepting++
		}
	})
	if closedWhilePaused == 0 || closedAccepting == 0 {
		t.Errorf("closed %d times while paused, %d times while accepting", closedWhilePaused, closedAccepting)
	}
	t.Logf("closed %d times while paused, %d times while accepting", closedWhilePaused, closedAccepting)
}
