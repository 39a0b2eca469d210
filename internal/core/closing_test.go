package core

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"lemongate/internal/hotrestart"
)

// closingModel is the machine of a predecessor in a hot restart, and the state of its server as the test observes it.
type closingModel struct {
	t       *rapid.T
	machine *Machine
	now     time.Duration
	timerAt time.Duration // clock time of the last SetTimer
	paused  bool          // PauseListeners was the last of PauseListeners and ResumeListeners
	closed  bool          // CloseServer was emitted
}

// step sends an event to the machine, and checks that no listener is paused or resumed after CloseServer.
func (m *closingModel) step(ev Event) {
	for _, e := range m.machine.Step(m.now, ev) {
		switch e := e.(type) {
		case PauseListeners, ResumeListeners:
			_, m.paused = e.(PauseListeners)
			if m.closed {
				m.t.Fatalf("%T emitted after CloseServer", e)
			}
		case CloseServer:
			if m.closed {
				m.t.Fatal("CloseServer emitted twice")
			}
			m.closed = true
		case SetTimer:
			m.timerAt = e.At
		}
	}
}

// advance advances the clock, and then fires the timer if it is due: it may fire late, as in a suspended process.
func (m *closingModel) advance(by time.Duration) {
	m.now += by
	if m.timerAt <= m.now {
		m.timerAt = m.now + time.Hour // until the next SetTimer
		m.step(TimerFired{})
	}
}

// Listeners are neither paused nor resumed after the server was closed, whatever the other process of a hot restart
// sends, whenever that process ends, and whenever a shutdown is requested.
func TestListenersStayAsTheyAreAfterClose(t *testing.T) {
	closedWhilePaused, closedWhileAccepting := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		limits := hotrestart.DefaultLimits()
		m := &closingModel{t: t, now: time.Hour, timerAt: 2 * time.Hour}
		m.machine, _ = New(m.now, Config{Settings: testSettings, Seed: 1, HotRestart: &limits})
		m.step(LinkClosed{}) // there is no predecessor
		m.advance(discoveryTimeout)
		t.Repeat(map[string]func(*rapid.T){
			"connect successor": func(*rapid.T) { m.step(&SuccessorConnected{}) },
			"end link":          func(*rapid.T) { m.step(LinkClosed{}) },
			"receive message": func(t *rapid.T) {
				kinds := []hotrestart.Kind{hotrestart.Prepared, hotrestart.Adopted, hotrestart.Heartbeat}
				m.step(&LinkMessageReceived{Kind: rapid.SampledFrom(kinds).Draw(t, "kind")})
			},
			"pass": func(t *rapid.T) {
				m.advance(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
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
			closedWhileAccepting++
		}
	})
	if closedWhilePaused == 0 || closedWhileAccepting == 0 {
		t.Errorf("closed %d times while paused, %d times while accepting; want both at least once", closedWhilePaused, closedWhileAccepting)
	}
	t.Logf("closed %d times while paused, %d times while accepting", closedWhilePaused, closedWhileAccepting)
}
