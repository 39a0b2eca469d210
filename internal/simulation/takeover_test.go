package simulation

import (
	"os"
	"testing"
)

// Takeovers of many limiters, one after another and at once, with one side dying at any point of
// some: no ceiling is passed, no req goes without its answer but those of a process that died, and
// nothing is served with another's answer. With no deaths the tier sends on as much of what is due,
// and goes as little beyond, as the same tier without takeovers.
func TestTakeovers(t *testing.T) {
	// LEMONGATE_LONG=1 plays the sizes that take minutes.
	sizes, seeds3 := []int{3, 30}, uint64(8)
	if os.Getenv("LEMONGATE_LONG") != "" {
		sizes, seeds3 = []int{3, 80, 300}, 200
	}
	for _, n := range sizes {
		seeds := map[int]uint64{3: seeds3, 30: 1, 80: 2, 300: 1}[n]
		all := every(n, 1, 0)
		for seed := range seeds {
			calm := Run(smaller(n), seed)
			sc := smaller(n)
			sc.Faults = []Fault{{Kind: "takeover", At: 1, For: 0.4, Every: 1.3, Limiters: all}}
			r := Run(sc, seed)
			if r.Breaches > 0 {
				t.Errorf("%d limiters, seed %d: %d rules broken: %v", n, seed, r.Breaches, r.Broken)
			}
			if seed == 0 {
				t.Logf("%d limiters: inside %.3f of due (calm %.3f), beyond %.3f (%.3f), messages %d (%d)", n, r.Inside/r.Due,
					calm.Inside/calm.Due, r.Beyond/r.Due, calm.Beyond/calm.Due, r.Messages, calm.Messages)
			}
			if r.Inside/r.Due < 0.95*calm.Inside/calm.Due || r.Beyond/r.Due > calm.Beyond/calm.Due+0.02 {
				t.Errorf("%d limiters, seed %d: inside %.3f, calm %.3f; beyond %.3f, calm %.3f", n, seed,
					r.Inside/r.Due, calm.Inside/calm.Due, r.Beyond/r.Due, calm.Beyond/calm.Due)
			}
			for i, dies := range []string{"elder", "heir", "elder", "heir"} {
				sc.Faults = []Fault{{
					Kind: "takeover", At: 1, For: 0.6, Every: 1.1, Limiters: every(n, 3, i%3), Dies: dies,
					Down: 0.0005 * float64(1+seed+3*uint64(i)),
				}}
				if i > 1 {
					sc.Faults[0].Down += 0.2 // in the trial
				}
				r := Run(sc, seed)
				if r.Breaches > 0 {
					t.Errorf("%d limiters, seed %d, %s dies after %.1f ms: %d rules broken: %v", n, seed, dies,
						1e3*sc.Faults[0].Down, r.Breaches, r.Broken)
				}
			}
		}
	}
}

// smaller is a large tier of some size, or a small one, for a short while.
func smaller(n int) Scenario {
	sc := large(max(n, 30))
	sc.Limiters, sc.Seconds = n, 6
	sc.Traffic.Spread = max(n*3/4, 2)
	if n > 100 {
		sc.Seconds = 3.5
	}
	if n < 30 {
		for i := range sc.Plans {
			sc.Plans[i].Customers = max(sc.Plans[i].Customers/4, 1)
		}
		sc.Backends.Count = 4
	}
	return sc
}
