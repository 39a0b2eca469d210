package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// The same settings, seeds and events result in the same actions.
func TestDeterminism(t *testing.T) {
	run := func() []Action {
		var actions []Action
		random := rand.New(rand.NewPCG(3, 3))
		controllers := []*Controller{New(testSettings(), 1), New(testSettings(), 1)}
		for number, ctl := range controllers {
			actions = ctl.Handle(0, &EndpointList{Kind: ListComplete, Backends: backendList("a", "b", "c")}, actions)
			for step := range 300 {
				now := time.Duration(step) * 5 * ms
				if random.IntN(3) > 0 {
					actions = ctl.Handle(now, &Request{
						ID: RequestID(number*1000 + step), Class: "read", Plan: "small", Customer: fmt.Sprint("c", random.IntN(9)),
						Units: 1, Budget: time.Second, SetSize: 2,
					}, actions)
				}
				actions = ctl.Handle(now, TimerFired{}, actions)
			}
		}
		return actions
	}
	first, second := run(), run()
	if fmt.Sprint(first) != fmt.Sprint(second) {
		t.Error("the same events resulted in different actions")
	}
}

// Events that refer to unknown requests, backends, classes or plans are handled without a panic.
func TestUnexpectedEvents(t *testing.T) {
	settings := testSettings()
	settings.Plans = append(settings.Plans, Plan{Name: "nil"})
	f := newFixture(t, settings)
	f.finish(99, 0, "a", Succeeded, ms)
	f.handle(&RequestEnded{Request: 99})
	f.handle(TimerFired{})
	f.handle(&ResponseStarted{Request: 99})
	f.handle(&ProbeResult{Backend: "z"})
	f.handle(&EndpointList{Kind: ListFailed})
	f.handle(&EndpointList{Kind: ListDelta, Backends: []Backend{{ID: "new", State: Removed}}})
	f.takeActions()
	f.handle(&Request{ID: 1000, Class: "no such", Plan: "small", Customer: "x", Units: 1, Budget: time.Second})
	if len(actionsOf[Reject](f.takeActions())) != 1 {
		t.Error("a request of an unknown class was not rejected")
	}
	f.handle(&Request{ID: 1001, Class: "read", Plan: "no such", Customer: "x", Units: 1, Budget: time.Second})
	f.handle(&Request{ID: 1002, Class: "read", Plan: "nil", Customer: "y", Units: 0, Budget: 0})
	f.advance(time.Second)
	if rejections := len(actionsOf[Reject](f.takeActions())); rejections != 2 {
		t.Errorf("%d rejections without a backend, want 2", rejections)
	}
	New(Settings{}, 1).Handle(0, TimerFired{}, nil)
}

// The cost of an event and the number of timers do not increase with the number of limiters.
func TestCostPerEvent(t *testing.T) {
	cost := func(limiters int) (allocations float64, timers int) {
		settings := testSettings()
		settings.Limiters = limiters
		f := newFixture(t, settings, backendList("a", "b", "c", "d")...)
		step := func() {
			f.now += 50 * ms
			id := f.request("read", "small", "x")
			for _, attempt := range actionsOf[StartAttempt](f.actions) {
				f.finish(id, 0, attempt.Backend, Succeeded, ms)
			}
			for _, timer := range actionsOf[SetTimer](f.takeActions()) {
				timers++
				if timer.At <= f.now+50*ms {
					f.handle(TimerFired{})
				}
			}
		}
		for range 100 {
			step()
		}
		return testing.AllocsPerRun(500, step), timers
	}
	allocationsOfFew, timersOfFew := cost(4)
	allocationsOfMany, timersOfMany := cost(400)
	if allocationsOfMany > 1.5*allocationsOfFew+2 || float64(timersOfMany) > 1.5*float64(timersOfFew)+10 {
		t.Errorf("%.0f allocations and %d timers with 400 limiters, %.0f and %d with 4, want at most about half as many again",
			allocationsOfMany, timersOfMany, allocationsOfFew, timersOfFew)
	}
}

// BenchmarkRequest measures a request with its attempt, in a small and in a large tier.
func BenchmarkRequest(b *testing.B) {
	for _, limiters := range []int{4, 400} {
		b.Run(fmt.Sprint(limiters), func(b *testing.B) {
			settings := testSettings()
			settings.Limiters = limiters
			ctl := New(settings, 1)
			ctl.Handle(0, &EndpointList{Backends: backendList("a", "b", "c", "d")}, nil)
			b.ReportAllocs()
			for i := range b.N {
				now := time.Duration(i) * 50 * ms
				request := &Request{
					ID: RequestID(i), Class: "read", Plan: "free", Customer: "x", Units: 1, Budget: time.Second, SetSize: 2,
				}
				for _, attempt := range actionsOf[StartAttempt](ctl.Handle(now, request, nil)) {
					ctl.Handle(now, &AttemptFinished{Request: attempt.Request, Backend: attempt.Backend, Final: true}, nil)
				}
			}
		})
	}
}
