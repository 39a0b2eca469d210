package processharness

import (
	"testing"
	"time"

	"lemongate/internal/simulation"
)

// What cannot be played on processes is told before anything is started.
func TestPlays(t *testing.T) {
	for _, c := range []struct {
		f  simulation.Fault
		ok bool
	}{
		{simulation.Fault{Kind: "restart"}, true}, {simulation.Fault{Kind: "clock", Rate: 1.01}, true}, {simulation.Fault{Kind: "clock", At: 2, Rate: 1.01}, false},
		{simulation.Fault{Kind: "takeover"}, false}, {simulation.Fault{Kind: "walk"}, false}, {simulation.Fault{Kind: "silent"}, false}, {simulation.Fault{Kind: "down", Zone: 1}, false},
	} {
		if err := Plays(c.f); (err == nil) != c.ok {
			t.Errorf("%+v: %v", c.f, err)
		}
	}
}

// A req is excused while its limiter was killed or stood still, and shortly before and after; no other is.
func TestExcused(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(100, int64(ms)*1e6) }
	p := &play{away: [][]span{{{at(1000), at(2000)}}, {{from: at(5000)}}}}
	for _, c := range []struct {
		limiter, at, took int
		want              bool
	}{{0, 100, 200, false}, {0, 700, 200, true}, {0, 1500, 10, true}, {0, 2100, 10, true}, {0, 2300, 10, false}, {1, 9000, 10, true}} {
		q := Result{Req: Req{Limiter: c.limiter}, At: at(c.at), Took: time.Duration(c.took) * time.Millisecond}
		if p.excused(q) != c.want {
			t.Errorf("%+v: want %v", c, c.want)
		}
	}
}
