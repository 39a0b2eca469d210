package main

import (
	"testing"
	"time"

	"lemongate/internal/processharness"
)

// A backend process is replaced by a new one at its address, which is listed under a new ID beside the old one. The limiter
// takes it for a backend that warms up: it sends it no requests in place of the old backend.
func TestNewBackendIsNotTakenForOldOneAtItsAddress(t *testing.T) {
	tier := newSmallestLimiter(t)
	p := tier.Limiters[0].Start(func(config map[string]any) {
		config["settings"].(map[string]any)["rules"] = map[string]any{
			"cold_from": 0.17, "warm_within_s": 17, "fall_multiple": 4, "fall_s": 1.5, "drain_grace_s": 0.25,
		}
	})
	p.AwaitHealthy(t)
	load := tier.StartLoad(150, func(n int) processharness.Request {
		return processharness.Request{Class: processharness.ClassIdempotent, Plan: "free", Customer: uint64(n % 30)}
	})
	time.Sleep(1500 * time.Millisecond)
	old := tier.Backends[0]
	tier.Replace(old)
	time.Sleep(time.Second) // by then the limiter has the new list
	toldAt := time.Now()
	time.Sleep(2 * time.Second)
	load.End()
	arrived := map[int]int{} // attempts by backend
	for _, a := range tier.BackendAttempts() {
		if a.ArrivedAt.After(toldAt) {
			arrived[a.Backend]++
		}
	}
	t.Logf("%d attempts at the new process, %d and %d at the others", arrived[0], arrived[1], arrived[2])
	// Its capacity is 0.27 of a warm backend's in the mean, of which it is sent nine tenths.
	if atNew, atOthers := arrived[0], arrived[1]+arrived[2]; atNew*4 > atOthers/2 || atNew == 0 {
		t.Errorf("%d attempts arrived at the new process, want some, at most a quarter of those at either of the others", atNew)
	}
}
