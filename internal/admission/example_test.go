package admission_test

import (
	"fmt"
	"time"

	"lemongate/internal/admission"
)

// limiter is a caller of a Controller. A real caller sends attempts to backends, answers clients and sets a timer; this
// one prints the actions, and its backends succeed at once.
type limiter struct {
	controller *admission.Controller
	now        time.Duration               // clock time
	events     []admission.Event           // not yet handled
	attempts   map[admission.RequestID]int // number of attempts started, by request
}

// run handles events until none is left. All events pass through one loop in the order of the clock, as a Controller is
// not safe for concurrent use.
func (l *limiter) run(events ...admission.Event) {
	l.events = append(l.events, events...)
	for len(l.events) > 0 {
		ev := l.events[0]
		l.events = l.events[1:]
		for _, action := range l.controller.Handle(l.now, ev, nil) {
			l.perform(action)
		}
	}
}

// perform performs an action. The result of an attempt is queued as an event.
func (l *limiter) perform(action admission.Action) {
	switch action := action.(type) {
	case admission.StartAttempt:
		fmt.Println("forward request", action.Request, "to", action.Backend)
		l.events = append(l.events, &admission.AttemptFinished{
			Request: action.Request, Attempt: l.attempts[action.Request], Backend: action.Backend,
			Result: admission.Succeeded, Latency: 20 * time.Millisecond, Final: true,
		})
		l.attempts[action.Request]++
	case admission.Reject:
		fmt.Println("reject request", action.Request, "with Retry-After", action.RetryAfter)
	case admission.Fail:
		fmt.Println("fail request", action.Request)
	case admission.SetTimer:
		// A real caller passes a TimerFired at action.At.
	}
}

// A customer with a quota of one unit per second sends two requests at once: the first is forwarded, the second is
// rejected with the time after which the quota allows it.
func Example() {
	l := &limiter{attempts: map[admission.RequestID]int{}}
	l.controller = admission.New(admission.Settings{
		Limiters:        1,
		ClockResolution: time.Millisecond,
		Classes: []admission.Class{{
			Name: "page", Idempotency: admission.Idempotent, Weight: 1,
			LatencyObjective: 500 * time.Millisecond, Deadline: 2 * time.Second,
		}},
		Plans:         []admission.Plan{{Name: "basic", Rate: 1, Burst: 1, WeightFactor: 1}},
		MaxAttempts:   2,
		MaxRetryAfter: time.Second,
	}, 1)

	l.run(&admission.EndpointList{Backends: []admission.Backend{{ID: "b1"}}})
	for id := admission.RequestID(1); id <= 2; id++ {
		l.run(&admission.Request{
			ID: id, Class: "page", Plan: "basic", Customer: "acme", Units: 1, Budget: 2 * time.Second, SetSize: 1,
		})
	}
	// Output:
	// forward request 1 to b1
	// reject request 2 with Retry-After 1s
}
