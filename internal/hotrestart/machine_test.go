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
	linked       bool   // it has been connected
	dead         bool   // it was killed
	stopped      bool   // it is suspended, as by SIGSTOP
	exited       bool   // an effect has ended it, or has it end after its open requests
	admits       bool   // according to its effects
}

// simulatedPair is two processes and the link between them.
type simulatedPair struct {
	t           *rapid.T
	now         time.Duration
	predecessor *simulatedProcess
	successor   *simulatedProcess
}

func (pair *simulatedPair) other(process *simulatedProcess) *simulatedProcess {
	if process == pair.predecessor {
		return pair.successor
	}
	return pair.predecessor
}

// perform performs the effects of one process, and fails if both admit.
func (pair *simulatedPair) perform(process *simulatedProcess, effects []Effect) {
	for _, e := range append([]Effect(nil), effects...) {
		other := pair.other(process)
		switch e := e.(type) {
		case Send:
			if process.linked && !other.closed && !other.dead {
				other.inbox = append(other.inbox, e.Kind)
			}
		case StopAdmitting, ForwardRequests:
			process.admits = false
		case ResumeAdmitting, StartAdmitting:
			process.admits = true
		case StartFresh:
			// The listening address is free only if the other process has ended.
			process.admits = other.dead || other.exited
			process.exited = !process.admits
		case Finish:
			process.exited = true
		case KillOtherProcess:
			pair.kill(other)
		case CloseLink:
			process.closed, other.remoteClosed = true, true
		case ConnectPredecessor:
			pair.connect()
		case Abort:
			process.exited = true
		}
	}
	if pair.predecessor.admits && pair.successor.admits && !pair.predecessor.dead && !pair.successor.dead {
		pair.t.Fatalf("both processes admit: predecessor %v, successor %v", pair.predecessor.phase, pair.successor.phase)
	}
}

// kill ends a process, also a stopped one.
func (pair *simulatedPair) kill(process *simulatedProcess) {
	if !process.dead {
		process.dead, process.admits, process.stopped = true, false, false
		pair.other(process).remoteClosed = true
	}
}

// connect connects the successor to the predecessor if the predecessor still runs.
func (pair *simulatedPair) connect() {
	for _, process := range []*simulatedProcess{pair.predecessor, pair.successor} {
		process.inbox, process.remoteClosed, process.closed, process.linked = nil, false, false, true
	}
	if pair.predecessor.dead || pair.predecessor.exited {
		pair.successor.remoteClosed = true
		return
	}
	pair.predecessor.inbox = append(pair.predecessor.inbox, Hello)
}

// receive lets a process handle one message, or the end of the link.
func (pair *simulatedPair) receive(process *simulatedProcess) {
	if process.dead || process.stopped || process.closed || !process.linked {
		return
	}
	if len(process.inbox) > 0 {
		kind := process.inbox[0]
		process.inbox = process.inbox[1:]
		if kind == Hello {
			effects, ok := process.SuccessorConnected(pair.now)
			if pair.perform(process, effects); !ok {
				pair.perform(process, []Effect{Send{Deny}, CloseLink{}})
			}
			return
		}
		pair.perform(process, process.MessageReceived(pair.now, kind))
	} else if process.remoteClosed {
		process.closed = true
		pair.perform(process, process.LinkClosed(pair.now))
	}
}

func (pair *simulatedPair) tick(process *simulatedProcess) {
	if !process.dead && !process.stopped {
		if at, ok := process.NextDeadline(); ok && at <= pair.now {
			pair.perform(process, process.Tick(pair.now))
		}
	}
}

// In any order of crashes, stops, delays and shutdown requests, the two processes never both admit. After the
// last of these one process admits, unless a shutdown was requested, no process runs, or only the successor runs and
// the predecessor is not dead.
func TestAtMostOneAdmits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := DefaultLimits()
		pair := &simulatedPair{t: t, predecessor: &simulatedProcess{Machine: New(limits, false, 0), admits: true}, successor: &simulatedProcess{Machine: New(limits, true, 0)}}
		pair.connect()
		shutdownRequested := false
		pick := func() *simulatedProcess {
			if rapid.Bool().Draw(t, "predecessor") {
				return pair.predecessor
			}
			return pair.successor
		}
		t.Repeat(map[string]func(*rapid.T){
			"read": func(t *rapid.T) { pair.receive(pick()) },
			"read all": func(t *rapid.T) {
				for range 12 {
					pair.receive(pair.predecessor)
					pair.receive(pair.successor)
				}
			},
			"pass time": func(t *rapid.T) {
				pair.now += time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond
				pair.tick(pick())
			},
			"exchange heartbeats": func(t *rapid.T) {
				for range 5 {
					pair.now += 10 * time.Millisecond
					pair.tick(pair.successor)
					pair.receive(pair.predecessor)
					pair.tick(pair.predecessor)
				}
			},
			"stop":  func(t *rapid.T) { process := pick(); process.stopped = !process.dead },
			"go on": func(t *rapid.T) { pick().stopped = false },
			"kill": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "sure") == 0 {
					pair.kill(pick())
				}
			},
			"terminate": func(t *rapid.T) {
				if process := pick(); !process.dead && !process.stopped && rapid.IntRange(0, 5).Draw(t, "sure") == 0 {
					shutdownRequested = true
					effects, _ := process.ShutdownRequested(pair.now)
					pair.perform(process, effects)
				}
			},
		})
		// No further faults are injected. Stopped processes stay stopped, as an operator may leave them.
		for range 3000 {
			pair.now += 10 * time.Millisecond
			for _, process := range []*simulatedProcess{pair.predecessor, pair.successor} {
				for range 5 {
					pair.receive(process)
				}
				pair.tick(process)
			}
		}
		if shutdownRequested || pair.predecessor.admits != pair.successor.admits {
			return
		}
		running := func(process *simulatedProcess) bool { return !process.dead && !process.exited && !process.stopped }
		if running(pair.predecessor) || running(pair.successor) && pair.predecessor.dead {
			t.Fatalf("no process admits: predecessor %v %+v, successor %v %+v", pair.predecessor.phase, pair.predecessor, pair.successor.phase, pair.successor)
		}
	})
}

// Without faults each side goes through its phases, and the successor admits at the end.
func TestHotRestart(t *testing.T) {
	limits := DefaultLimits()
	predecessor, successor := New(limits, false, 0), New(limits, true, 0)
	if _, ok := predecessor.SuccessorConnected(0); !ok || !predecessor.Admits() || successor.Admits() {
		t.Fatal("want the predecessor to accept the successor and to be the only process that admits")
	}
	if _, again := predecessor.SuccessorConnected(0); again {
		t.Error("a second successor was accepted, want it to be rejected")
	}
	successor.MessageReceived(0, Offer)
	if effects := predecessor.MessageReceived(0, Prepared); !slices.Equal(effects, []Effect{StopAdmitting{}, Send{Transfer}}) {
		t.Errorf("effects of Prepared: %v, want StopAdmitting, then Send of Transfer", effects)
	}
	successor.MessageReceived(0, Transfer)
	if predecessor.Admits() || successor.Admits() {
		t.Error("a process admits while the state is in transit, want none")
	}
	if effects := predecessor.MessageReceived(0, Adopted); !slices.Equal(effects, []Effect{Send{Commit}, ForwardRequests{}}) {
		t.Errorf("effects of Adopted: %v, want Send of Commit, then ForwardRequests", effects)
	}
	successor.MessageReceived(0, Commit)
	if predecessor.Admits() || !successor.Admits() || predecessor.Phase() != Probation || successor.Phase() != Serving {
		t.Errorf("after Commit: predecessor %v, successor %v, want phases trial and owning, and only the successor to admit", predecessor.Phase(), successor.Phase())
	}
	if effects, alone := predecessor.ShutdownRequested(0); alone || !slices.Equal(effects, []Effect{Send{Final}, Finish{}}) {
		t.Errorf("effects of a shutdown request: %v, want Send of Final, then Finish, and no shutdown as a process that runs alone", effects)
	}
	if effects := successor.MessageReceived(0, Final); !slices.Equal(effects, []Effect{RunAlone{}}) || successor.Phase() != Alone {
		t.Errorf("effects of Final: %v, phase %v, want RunAlone and phase alone", effects, successor.Phase())
	}
}
