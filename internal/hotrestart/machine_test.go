package hotrestart

import (
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lemongate/internal/rapidtest"
)

// TestMain fixes the seed, so that the verdict is the same every time.
func TestMain(m *testing.M) {
	os.Exit(rapidtest.Main(m, "20261201", map[string]string{"rapid.checks": "3000", "rapid.steps": "60"}))
}

// side is one process, as the world sees it.
type side struct {
	*Machine
	inbox        []Kind // sent to it and not yet read
	remoteClosed bool   // the other end of its link is closed, behind what is in inbox
	closed       bool   // it has closed its own end
	linked       bool
	dead         bool
	stopped      bool
	quit         bool
	admits       bool // by its effects
}

// world is two processes and the link between them.
type world struct {
	t           *rapid.T
	now         time.Duration
	predecessor *side
	successor   *side
}

func (w *world) peer(s *side) *side {
	if s == w.predecessor {
		return w.successor
	}
	return w.predecessor
}

// carryOut carries out effects of one side, and fails if both admit.
func (w *world) carryOut(s *side, effects []Effect) {
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
			// A process that lives has the address: it must be free.
			s.admits = peer.dead || peer.quit
			s.quit = !s.admits
		case Finish:
			s.quit = true
		case KillOtherProcess:
			w.kill(peer)
		case CloseLink:
			s.closed, peer.remoteClosed = true, true
		case ConnectPredecessor:
			w.connect()
		case Abort:
			s.quit = true
		}
	}
	if w.predecessor.admits && w.successor.admits && !w.predecessor.dead && !w.successor.dead {
		w.t.Fatalf("both admit: predecessor %v, successor %v", w.predecessor.phase, w.successor.phase)
	}
}

// kill ends a process, stopped or not.
func (w *world) kill(s *side) {
	if !s.dead {
		s.dead, s.admits, s.stopped = true, false, false
		w.peer(s).remoteClosed = true
	}
}

// connect connects the successor to the predecessor, if that one can be reached.
func (w *world) connect() {
	for _, s := range []*side{w.predecessor, w.successor} {
		s.inbox, s.remoteClosed, s.closed, s.linked = nil, false, false, true
	}
	if w.predecessor.dead || w.predecessor.quit {
		w.successor.remoteClosed = true
		return
	}
	w.predecessor.inbox = append(w.predecessor.inbox, Hello)
}

// read has a process handle one message, or the end of the link.
func (w *world) read(s *side) {
	if s.dead || s.stopped || s.closed || !s.linked {
		return
	}
	if len(s.inbox) > 0 {
		k := s.inbox[0]
		s.inbox = s.inbox[1:]
		if k == Hello {
			effects, ok := s.SuccessorConnected(w.now)
			if w.carryOut(s, effects); !ok {
				w.carryOut(s, []Effect{Send{Deny}, CloseLink{}})
			}
			return
		}
		w.carryOut(s, s.MessageReceived(w.now, k))
	} else if s.remoteClosed {
		s.closed = true
		w.carryOut(s, s.LinkClosed(w.now))
	}
}

func (w *world) tick(s *side) {
	if !s.dead && !s.stopped {
		if at, ok := s.NextDeadline(); ok && at <= w.now {
			w.carryOut(s, s.Tick(w.now))
		}
	}
}

// Whatever crashes, stops, is late or is requested to shut down, and in whatever order: two processes
// never admit at once. Once what runs is left to itself one does admit, unless a shutdown was
// requested or no process is left.
func TestAtMostOneAdmits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := DefaultLimits()
		w := &world{t: t, predecessor: &side{Machine: New(limits, false, 0), admits: true}, successor: &side{Machine: New(limits, true, 0)}}
		w.connect()
		shutdownRequested := false
		pick := func() *side {
			if rapid.Bool().Draw(t, "predecessor") {
				return w.predecessor
			}
			return w.successor
		}
		t.Repeat(map[string]func(*rapid.T){
			"read": func(t *rapid.T) { w.read(pick()) },
			"read all": func(t *rapid.T) {
				for range 12 {
					w.read(w.predecessor)
					w.read(w.successor)
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
					w.read(w.predecessor)
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
					w.carryOut(s, effects)
				}
			},
		})
		// Left to itself: stopped processes stay stopped, as an operator may leave them.
		for range 3000 {
			w.now += 10 * time.Millisecond
			for _, s := range []*side{w.predecessor, w.successor} {
				for range 5 {
					w.read(s)
				}
				w.tick(s)
			}
		}
		if shutdownRequested || w.predecessor.admits != w.successor.admits {
			return
		}
		left := func(s *side) bool { return !s.dead && !s.quit && !s.stopped }
		if left(w.predecessor) || left(w.successor) && w.predecessor.dead {
			t.Fatalf("no process admits: predecessor %v %+v, successor %v %+v", w.predecessor.phase, w.predecessor, w.successor.phase, w.successor)
		}
	})
}

// With nothing in the way each side goes through its phases, and the successor admits for good.
func TestHotRestart(t *testing.T) {
	limits := DefaultLimits()
	predecessor, successor := New(limits, false, 0), New(limits, true, 0)
	if _, ok := predecessor.SuccessorConnected(0); !ok || !predecessor.Admits() || successor.Admits() {
		t.Fatal("not offered")
	}
	if _, again := predecessor.SuccessorConnected(0); again {
		t.Error("a third process is offered a hot restart as well")
	}
	successor.MessageReceived(0, Offer)
	if effects := predecessor.MessageReceived(0, Prepared); !slices.Equal(effects, []Effect{StopAdmitting{}, Send{Transfer}}) {
		t.Errorf("what is admitted after the state is counted by no process: %v", effects)
	}
	successor.MessageReceived(0, Transfer)
	if predecessor.Admits() || successor.Admits() {
		t.Error("a process admits while the state is in transit")
	}
	if effects := predecessor.MessageReceived(0, Adopted); !slices.Equal(effects, []Effect{Send{Commit}, ForwardRequests{}}) {
		t.Errorf("requests from now on are decided by no process: %v", effects)
	}
	successor.MessageReceived(0, Commit)
	if predecessor.Admits() || !successor.Admits() || predecessor.Phase() != Probation || successor.Phase() != Serving {
		t.Errorf("%v, %v", predecessor.Phase(), successor.Phase())
	}
	if effects, alone := predecessor.ShutdownRequested(0); alone || !slices.Equal(effects, []Effect{Send{Final}, Finish{}}) {
		t.Errorf("shutdown requested: %v", effects)
	}
	if effects := successor.MessageReceived(0, Final); !slices.Equal(effects, []Effect{RunAlone{}}) || successor.Phase() != Alone {
		t.Errorf("%v, %v", effects, successor.Phase())
	}
}
