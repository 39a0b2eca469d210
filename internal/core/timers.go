package core

import (
	"container/heap"
	"math"
	"slices"
	"time"
)

// This file holds the timers of all concerns. Only one SetTimer is in force: that for the earliest timer.

// noTimer is the armedAt of a timerQueue for which no timer is set. Where a concern stores the clock time of its own
// timer, 0 means none.
const noTimer time.Duration = math.MaxInt64

// timer is an action that is due at a clock time.
type timer struct {
	at   time.Duration
	kind timerKind
	id   AttemptID // the attempt of an attemptTimer; for a deadlineTimer, only the request is set
}

type timerKind uint8

const (
	controllerTimer  timerKind = iota // the admission controller has something due
	deadlineTimer                     // the deadline of a request
	attemptTimer                      // the time limit of an attempt
	discoveryTimer                    // the process becomes ready even if discovery has sent no list
	acceptGraceTimer                  // after SIGTERM: no more connections are accepted
	leaseTimer                        // a lease or a task under one has something due
	hotRestartTimer                   // the hot restart protocol has something due
	metricsTimer                      // metrics changed since they were last published
)

// minPruneLength is the least number of timers at which the invalid ones are removed. Clients that send requests quickly
// leave a timer of each until its deadline.
const minPruneLength = 4096

// timerQueue is the queue of all timers, including those that are no longer valid.
type timerQueue struct {
	heap    timerHeap
	pruneAt int           // length at which the invalid timers are removed
	armedAt time.Duration // clock time of the SetTimer in force; noTimer for none
}

func newTimerQueue() timerQueue { return timerQueue{armedAt: noTimer, pruneAt: minPruneLength} }

func (q *timerQueue) add(t timer) { heap.Push(&q.heap, t) }

// pruneTimers removes the invalid timers if there are many timers.
func (m *Machine) pruneTimers() {
	q := &m.timers
	if len(q.heap) < q.pruneAt {
		return
	}
	q.heap = slices.Clip(slices.DeleteFunc(q.heap, func(t timer) bool { return !m.timerValid(t) }))
	heap.Init(&q.heap)
	q.pruneAt = max(2*len(q.heap), minPruneLength)
}

func (q *timerQueue) removeEarliest() { heap.Pop(&q.heap) }

// nextTimer returns the earliest valid timer, and removes the invalid ones before it. Most timers become invalid before
// they are due, because requests are answered and attempts end long before; firing them would make up half of
// all wake-ups.
func (m *Machine) nextTimer() (t timer, ok bool) {
	for len(m.timers.heap) > 0 {
		t = m.timers.heap[0]
		if m.timerValid(t) {
			return t, true
		}
		m.timers.removeEarliest()
	}
	return timer{}, false
}

// timerValid reports whether the reason for a timer still exists.
func (m *Machine) timerValid(t timer) bool {
	switch t.kind {
	case controllerTimer:
		return t.at == m.admission.timerAt
	case deadlineTimer:
		r := m.requests.byID[t.id.Request]
		return r != nil && !r.answered
	case attemptTimer:
		return m.attempts[t.id] != nil
	case discoveryTimer:
		return m.phase == Starting
	case hotRestartTimer:
		return t.at == m.hotRestart.timerAt
	case leaseTimer:
		return t.at == m.leases.dueAt && m.leases.agent != nil
	}
	return true
}

// runTimers handles all timers that are due.
func (m *Machine) runTimers() {
	for {
		t, ok := m.nextTimer()
		if !ok || t.at > m.now {
			return
		}
		m.timers.removeEarliest()
		m.onTimer(t)
	}
}

func (m *Machine) onTimer(t timer) {
	switch t.kind {
	case controllerTimer:
		m.onControllerTimer()
	case deadlineTimer:
		m.onDeadline(t.id.Request)
	case attemptTimer:
		m.onAttemptTimeout(t.id)
	case discoveryTimer:
		m.enterPhase(Serving)
	case acceptGraceTimer:
		m.enterPhase(Closing)
	case leaseTimer:
		m.leases.dueAt = 0
		m.runLeases()
	case hotRestartTimer:
		m.onHotRestartTimer()
	case metricsTimer: // publishMetrics runs in this step, after all timers
		m.metrics.timerPending = false
	}
}

// armTimer requests a timer if the earliest one is not the one in force.
func (m *Machine) armTimer() {
	m.pruneTimers()
	t, ok := m.nextTimer()
	if !ok || t.at == m.timers.armedAt {
		return
	}
	m.timers.armedAt = t.at
	m.emit(SetTimer{At: t.at})
}

// earlier returns the earlier of two clock times, of which 0 means never.
func earlier(a, b time.Duration) time.Duration {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}

// timerHeap is a heap of timers, the earliest first.
type timerHeap []timer

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	*h = (*h)[:last]
	return t
}
