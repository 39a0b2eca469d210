package lemongate_test

import (
	"fmt"
	"time"

	"lemongate"
)

// A front door hands its events over and carries out what comes back.
func Example() {
	g := lemongate.New(lemongate.Settings{
		Gateways: 1,
		Tick:     time.Millisecond,
		Classes: []lemongate.Class{{
			Name: "page", Effect: lemongate.Safe, Aim: 500 * time.Millisecond, Deadline: 2 * time.Second, Worth: 1,
		}},
		Plans:         []lemongate.Plan{{Name: "basic", Rate: 1, Burst: 1, Price: 1}},
		MaxAttempts:   2,
		MaxRetryAfter: time.Second,
	}, 1)

	now := time.Duration(0)
	handle := func(ev lemongate.Event) {
		for _, a := range g.Handle(now, ev, nil) {
			switch a := a.(type) {
			case lemongate.Send:
				fmt.Println("send request", a.Request, "to", a.Backend)
			case lemongate.Refuse:
				fmt.Println("refuse request", a.Request, "for", a.After)
			}
		}
	}
	handle(&lemongate.List{Backends: []lemongate.Backend{{ID: "b1"}}})
	for id := lemongate.RequestID(1); id <= 2; id++ {
		handle(&lemongate.Request{
			ID: id, Class: "page", Plan: "basic", Customer: "acme", Units: 1, Budget: 2 * time.Second, Spread: 1,
		})
	}
	// Output:
	// send request 1 to b1
	// refuse request 2 for 1s
}
