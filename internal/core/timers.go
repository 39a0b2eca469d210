package core

import (
	"container/heap"
	"time"
)

// A timer is something that falls due at a time.
type timer struct {
	at   time.Duration
	kind timerKind
	id   AttemptID // for a deadline its Req, for a fetch all of it
}

type timerKind uint8

const (
	controllerTimer timerKind = iota // a Wake that the Gateway asked for
	deadlineTimer                    // a req must have its answer
	attemptTimer                     // a fetch is not waited for any longer
	discoveryTimer                   // ready, even if discovery is silent
	graceTimer                       // after SIGTERM: accept nothing more
	leaseTimer                       // a lease has something due
	hotRestartTimer                  // the takeover has something due
	metricsTimer                     // figures changed since they were last published
)

// timers is a heap, the earliest first.
type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	*t = (*t)[:last]
	return x
}

func (t *timers) add(x timer) { heap.Push(t, x) }

// earliest gives the first timer, if there is one.
func (t timers) earliest() (timer, bool) {
	if len(t) == 0 {
		return timer{}, false
	}
	return t[0], true
}

func (t *timers) removeEarliest() { heap.Pop(t) }
