package hotrestart

import (
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lemongate/internal/rapidtest"
)

// TestMain fixes the seed, so that every run gives the same result.
func TestMain(m *testing.M) {
	os.Exit(rapidtest.Main(m, "20261201", map[string]string{"rapid.checks": "3000", "rapid.steps": "60"}))
}

// simulatedProcess is one process and its end of the link.
type simulatedProcess struct {
	*Machine
	inbox        []Kind // messages sent to it and not yet read
	remoteClosed bool   // the other end of its link is closed, after the messages in inbox
	closed       bool   // it has closed its own end of the link
	linked       bool
	dead         bool
	stopped      bool
	exited       bool
	admits       bool // as its effects say
}

// simulatedPair is two processes and the link between them.
type simulatedPair struct {
	t           *rapid.T
	now         time.Duration
	predecessor *simulatedProcess
	successor   *simulatedProcess
}

func (w *simulatedPair) peer(s *simulatedProcess) *simulatedProcess {
	if s == w.predecessor {
		return w.successor
	}
	return w.predecessor
}

// perform performs the effects of one process, and fails if both admit.
func (w *simulatedPair) perform(s *simulatedProcess, effects []Effect) {
	for _, e := range append([]Effect(nil), effects...) {
		peer := w.peer(s)
		switch e := e.(type) {
		case Send:
			if s.linked && !peer.closed && !peer.dead {
				peer.inbox = append(peer.inbox, e.Kind)
			}
		case StopAdmitting, ForwardRequests:
			s.admits = false
		case ResumeAdmitting, StartAdmitting:
			s.admits = true
		case StartFresh:
			// The listening address is free only if the other process has ended.
			s.admits = peer.dead || peer.exited
			s.exited = !s.admits
		case Finish:
			s.exited = true
		case KillOtherProcess:
			w.kill(peer)
		case CloseLink:
			s.closed, peer.remoteClosed = true, true
		case ConnectPredecessor:
			w.connect()
		case Abort:
			s.exited = true
		}
	}
	if w.predecessor.admits && w.successor.admits && !w.predecessor.dead && !w.successor.dead {
		w.t.Fatalf("both processes admit: predecessor %v, successor %v", w.predecessor.phase, w.successor.phase)
	}
}

// kill ends a process, also a stopped one.
func (w *simulatedPair) kill(s *simulatedProcess) {
	if !s.dead {
		s.dead, s.admits, s.stopped = true, false, false
		w.peer(s).remoteClosed = true
	}
}

// connect connects the successor to the predecessor if the predecessor still runs.
func (w *simulatedPair) connect() {
	for _, s := range []*simulatedProcess{w.predecessor, w.successor} {
		s.inbox, s.remoteClosed, s.closed, s.linked = nil, false, false, true
	}
	if w.predecessor.dead || w.predecessor.exited {
		w.successor.remoteClosed = true
		return
	}
	w.predecessor.inbox = append(w.predecessor.inbox, Hello)
}

// receive lets a process handle one message, or the end of the link.
func (w *simulatedPair) receive(s *simulatedProcess) {
	if s.dead || s.stopped || s.closed || !s.linked {
		return
	}
	if len(s.inbox) > 0 {
		k := s.inbox[0]
		s.inbox = s.inbox[1:]
		if k == Hello {
			effects, ok := s.SuccessorConnected(w.now)
			if w.perform(s, effects); !ok {
				w.perform(s, []Effect{Send{Deny}, CloseLink{}})
			}
			return
		}
		w.perform(s, s.MessageReceived(w.now, k))
	} else if s.remoteClosed {
		s.closed = true
		w.perform(s, s.LinkClosed(w.now))
	}
}

func (w *simulatedPair) tick(s *simulatedProcess) {
	if !s.dead && !s.stopped {
		if at, ok := s.NextDeadline(); ok && at <= w.now {
			w.perform(s, s.Tick(w.now))
		}
	}
}

// In any order of crashes, stops, delays and shutdown requests, the two processes never admit at once. After
// the last of these one process admits, unless a shutdown was requested or no process is left.
func TestAtMostOneAdmits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := DefaultLimits()
		w := &simulatedPair{t: t, predecessor: &simulatedProcess{Machine: New(limits, false, 0), admits: true}, successor: &simulatedProcess{Machine: New(limits, true, 0)}}
		w.connect()
		shutdownRequested := false
		pick := func() *simulatedProcess {
			if rapid.Bool().Draw(t, "predecessor") {
				return w.predecessor
			}
			return w.successor
		}
		t.Repeat(map[string]func(*rapid.T){
			"read": func(t *rapid.T) { w.receive(pick()) },
			"read all": func(t *rapid.T) {
				for range 12 {
					w.receive(w.predecessor)
					w.receive(w.successor)
				}
			},
			"pass time": func(t *rapid.T) {
				w.now += time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond
				w.tick(pick())
			},
			"exchange heartbeats": func(t *rapid.T) {
				for range 5 {
					w.now += 10 * time.Millisecond
					w.tick(w.successor)
					w.receive(w.predecessor)
					w.tick(w.predecessor)
				}
			},
			"stop":  func(t *rapid.T) { s := pick(); s.stopped = !s.dead },
			"go on": func(t *rapid.T) { pick().stopped = false },
			"kill": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "sure") == 0 {
					w.kill(pick())
				}
			},
			"terminate": func(t *rapid.T) {
				if s := pick(); !s.dead && !s.stopped && rapid.IntRange(0, 5).Draw(t, "sure") == 0 {
					shutdownRequested = true
					effects, _ := s.ShutdownRequested(w.now)
					w.perform(s, effects)
				}
			},
		})
		// No further faults are injected. Stopped processes stay stopped, as an operator may leave them.
		for range 3000 {
			w.now += 10 * time.Millisecond
			for _, s := range []*simulatedProcess{w.predecessor, w.successor} {
				for range 5 {
					w.receive(s)
				}
				w.tick(s)
			}
		}
		if shutdownRequested || w.predecessor.admits != w.successor.admits {
			return
		}
		running := func(s *simulatedProcess) bool { return !s.dead && !s.exited && !s.stopped }
		if running(w.predecessor) || running(w.successor) && w.predecessor.dead {
			t.Fatalf("no process admits: predecessor %v %+v, successor %v %+v", w.predecessor.phase, w.predecessor, w.successor.phase, w.successor)
		}
	})
}

// Without faults each side goes through its phases, and the successor admits at the end.
func TestHotRestart(t *testing.T) {
	limits := DefaultLimits()
	predecessor, successor := New(limits, false, 0), New(limits, true, 0)
	if _, ok := predecessor.SuccessorConnected(0); !ok || !predecessor.Admits() || successor.Admits() {
		t.Fatal("the predecessor did not accept the successor, or not the predecessor alone admits")
	}
	if _, again := predecessor.SuccessorConnected(0); again {
		t.Error("a third process was accepted as successor")
	}
	successor.MessageReceived(0, Offer)
	if effects := predecessor.MessageReceived(0, Prepared); !slices.Equal(effects, []Effect{StopAdmitting{}, Send{Transfer}}) {
		t.Errorf("effects of prepared: %v, want StopAdmitting, then Transfer", effects)
	}
	successor.MessageReceived(0, Transfer)
	if predecessor.Admits() || successor.Admits() {
		t.Error("a process admits while the state is in transit, want none")
	}
	if effects := predecessor.MessageReceived(0, Adopted); !slices.Equal(effects, []Effect{Send{Commit}, ForwardRequests{}}) {
		t.Errorf("effects of adopted: %v, want Commit, then ForwardRequests", effects)
	}
	successor.MessageReceived(0, Commit)
	if predecessor.Admits() || !successor.Admits() || predecessor.Phase() != Probation || successor.Phase() != Serving {
		t.Errorf("after commit: predecessor %v, successor %v, want only the successor to admit", predecessor.Phase(), successor.Phase())
	}
	if effects, alone := predecessor.ShutdownRequested(0); alone || !slices.Equal(effects, []Effect{Send{Final}, Finish{}}) {
		t.Errorf("effects of a shutdown request: %v, want Final, then Finish", effects)
	}
	if effects := successor.MessageReceived(0, Final); !slices.Equal(effects, []Effect{RunAlone{}}) || successor.Phase() != Alone {
		t.Errorf("effects of final: %v, phase %v, want RunAlone and phase alone", effects, successor.Phase())
	}
}
