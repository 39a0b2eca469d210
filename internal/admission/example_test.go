package admission_test

import (
	"fmt"
	"time"

	"lemongate/internal/admission"
)

// A front door hands its events over and carries out what comes back.
func Example() {
	g := admission.New(admission.Settings{
		Limiters:        1,
		ClockResolution: time.Millisecond,
		Classes: []admission.Class{{
			Name: "page", Idempotency: admission.Idempotent, LatencyObjective: 500 * time.Millisecond, Deadline: 2 * time.Second, Weight: 1,
		}},
		Plans:         []admission.Plan{{Name: "basic", Rate: 1, Burst: 1, WeightFactor: 1}},
		MaxAttempts:   2,
		MaxRetryAfter: time.Second,
	}, 1)

	now := time.Duration(0)
	handle := func(ev admission.Event) {
		for _, a := range g.Handle(now, ev, nil) {
			switch a := a.(type) {
			case admission.StartAttempt:
				fmt.Println("send request", a.Request, "to", a.Backend)
			case admission.Reject:
				fmt.Println("refuse request", a.Request, "for", a.RetryAfter)
			}
		}
	}
	handle(&admission.EndpointList{Backends: []admission.Backend{{ID: "b1"}}})
	for id := admission.RequestID(1); id <= 2; id++ {
		handle(&admission.Request{
			ID: id, Class: "page", Plan: "basic", Customer: "acme", Units: 1, Budget: 2 * time.Second, SetSize: 1,
		})
	}
	// Output:
	// send request 1 to b1
	// refuse request 2 for 1s
}
