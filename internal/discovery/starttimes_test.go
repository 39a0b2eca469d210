package discovery

import (
	"testing"
	"time"
)

// The wall clock is set forward or back by an hour. A backend that was listed before keeps its start time, one that has just
// started warms up, whichever clock its start time is of, and one that started days ago is warm.
func TestWallClockStep(t *testing.T) {
	const slowStart = 17 * time.Second
	for _, step := range []time.Duration{time.Hour, -time.Hour} {
		origin := time.Date(2026, 12, 5, 1, 0, 0, 0, time.UTC)
		now, wall := 2*time.Hour, origin.Add(2*time.Hour)
		starts := newStartTimes(origin)
		starts.now, starts.wall = func() time.Duration { return now }, func() time.Time { return wall }
		pass := func(d time.Duration) { now, wall = now+d, wall.Add(d) }

		listedAt := wall.Add(-time.Minute)
		before := starts.convert("listed", listedAt)
		if want := now - time.Minute; before != want {
			t.Fatalf("without a step: started at %v, want %v", before, want)
		}
		startedBefore := wall.Add(-2 * time.Second) // of a backend that is listed after the step
		wall = wall.Add(step)
		pass(3 * time.Second)
		startedAfter := wall.Add(-time.Second)
		for id, startedAt := range map[string]time.Time{"before": startedBefore, "after": startedAfter} {
			if age := now - starts.convert(id, startedAt); age < 0 || age > slowStart {
				t.Errorf("step of %v: a backend that started %s it has the age %v, want it to warm up", step, id, age)
			}
		}
		if again := starts.convert("listed", listedAt); again != before {
			t.Errorf("step of %v: a backend that was listed before started at %v, then at %v", step, before, again)
		}
		if age := now - starts.convert("old", wall.Add(-48*time.Hour)); age < slowStart {
			t.Errorf("step of %v: a backend that started days ago has the age %v", step, age)
		}
		starts.retain(map[string]bool{"old": true})
		if len(starts.known) != 1 {
			t.Errorf("%d start times kept, want that of the one backend that is listed", len(starts.known))
		}
	}
}
