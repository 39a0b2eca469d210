package simulation

import (
	"bytes"
	"slices"
	"strings"
	"time"

	"lemongate/internal/admission"
	"lemongate/internal/core"
	"lemongate/internal/lease"
	"lemongate/internal/usage"
)

// This file judges leases from outside: by what came to backends, and by asking every limiter at
// every instant whether it would act now, by its own clock, one that stands still too.

// judgeEvery is how often the judge looks.
const judgeEvery = 2 * time.Millisecond

// clockDrift is the rate that clocks are assumed to be off by at most.
const clockDrift = 0.01

// A judge holds what was seen against the promise: one holder at a time, and tokens that grow.
type judge struct {
	task     string
	token    uint64 // the greatest that acted
	held     uint64 // the greatest that was held
	since    time.Duration
	gaps     []time.Duration
	messages map[int]int // by the limiter that they are for
	bytes    int
	lines    []usage.Report // of the fleet's use, as written
	taken    float64        // units that came to backends
	walking  int            // limiters that wait for their turn
	out      map[int]bool   // by a turn, and not back yet
	homes    [][]int        // who holds each customer's stores, where more than one does
}

// leaseSettings is what each limiter is told of leases.
func (s *sim) leaseSettings() *lease.Settings {
	return &lease.Settings{
		Tasks: s.sc.Leases.Tasks, AcceptorCount: s.sc.Leases.Keepers, Duration: milliseconds(s.sc.Leases.Length), ClockDrift: clockDrift,
		MinToken: uint64(s.now / time.Millisecond),
	}
}

// watchLeases looks at all limiters again and again.
func (s *sim) watchLeases() {
	if s.sc.Leases == nil {
		return
	}
	j := &s.leases
	j.task, j.messages = s.sc.Leases.Tasks[0], map[int]int{}
	var look func()
	look = func() {
		s.judge()
		s.after(judgeEvery, look)
	}
	s.after(0, look)
}

// holder is the limiter that holds the lease now, or -1.
func (s *sim) holder() int {
	for i, l := range s.limiters {
		if l.machine == nil {
			continue
		}
		if _, ok := l.machine.Holds(l.clock(), s.leases.task); ok {
			return i
		}
	}
	return -1
}

func (s *sim) judge() {
	j, who := &s.leases, -1
	for i, l := range s.limiters {
		if l.machine == nil {
			continue
		}
		token, ok := l.machine.Holds(l.clock(), j.task)
		if !ok {
			continue
		}
		if who >= 0 {
			s.result.Overlaps++
			s.broken("limiters %d and %d both hold the lease of %s", who, i, j.task)
		}
		who = i
		switch {
		case token < j.held:
			s.broken("limiter %d holds token %d after %d", i, token, j.held)
		case token > j.held:
			s.result.Holders++
			j.held = token
		}
	}
	s.judgeWalk()
	switch {
	case who < 0 && j.since == 0:
		j.since = s.now
	case who >= 0 && j.since > 0:
		j.gaps = append(j.gaps, s.now-j.since)
		j.since = 0
	}
}

// act books an attempt that came to a backend.
func (j *judge) act(s *sim, a *attempt) {
	if a.token == 0 {
		return
	}
	s.result.Acts++
	if a.token < j.token {
		s.result.TokenFalls++
		s.broken("limiter %d acts under token %d after %d", a.limiter.number, a.token, j.token)
	}
	j.token = max(j.token, a.token)
}

// sent books a datagram about leases.
func (j *judge) sent(e core.SendToPeer) {
	if j.messages != nil && lease.IsMessage(e.Data) {
		j.messages[e.Peer]++
		j.bytes += len(e.Data)
	}
}

// sum gives the figures of the run. What was without a holder from the beginning is no gap after
// a trouble; what still is at the end counts.
func (j *judge) sum(s *sim) {
	if j.messages == nil {
		return
	}
	r, all := &s.result, 0
	if j.since > 0 {
		j.gaps = append(j.gaps, s.now-j.since)
	}
	for i, gap := range j.gaps {
		if i > 0 {
			ms := float64(gap) / float64(time.Millisecond)
			r.NoHolder += ms / float64(len(j.gaps)-1)
			r.NoHolderWorst = max(r.NoHolderWorst, ms)
		}
	}
	for _, n := range j.messages {
		all += n
		r.LeaseBusiest = max(r.LeaseBusiest, float64(n)/s.sc.Seconds)
	}
	j.sumUse(s)
	r.Walking = j.walking + len(j.out)
	r.LeaseMessages, r.LeaseBytes = float64(all)/s.sc.Seconds, float64(j.bytes)/s.sc.Seconds
}

// useFlying is how many units may be with backends at the end: their tries are not booked yet.
const useFlying = 10

// walkEvery is how often an operator looks whether a limiter has its turn.
const walkEvery = 50 * time.Millisecond

// walk has a limiter restarted once it has its turn.
func (s *sim) walk(n int, down time.Duration) {
	j := &s.leases
	if j.out == nil {
		j.out = map[int]bool{}
		for _, c := range s.customers {
			if list := admission.HoldersOf(c.name, c.first, c.spread, s.sc.Limiters); len(list) > 1 {
				j.homes = append(j.homes, list)
			}
		}
	}
	j.walking++
	var look func()
	look = func() {
		l := s.limiters[n]
		if l.machine == nil || s.now < l.frozen {
			s.after(walkEvery, look)
			return
		}
		v := l.machine.RestartSlots()
		if !v.Granted || v.ValidFor <= 0 {
			if !v.Wanted {
				l.post(core.RestartSlotRequested{Wanted: true})
			}
			s.after(walkEvery, look)
			return
		}
		j.out[n] = true
		j.walking--
		l.kill()
		s.after(down, l.rise)
	}
	look()
}

// judgeWalk holds who is out by a turn against the promise.
func (s *sim) judgeWalk() {
	j := &s.leases
	for n := range j.out {
		if l := s.limiters[n]; l.machine != nil && l.machine.Phase() == core.Serving {
			delete(j.out, n)
			s.result.Walked++
		}
	}
	if len(j.out) > s.sc.Leases.Most {
		s.broken("%d limiters are out by turns", len(j.out))
	}
	if len(j.out) < 2 {
		return
	}
	for _, list := range j.homes {
		if !slices.ContainsFunc(list, func(n int) bool { return !j.out[n] }) {
			s.broken("limiters %v are out, and held all of a customer", list)
		}
	}
}

// diskTakes is how long a line takes to be written, and the word of it to come back.
const diskTakes = 3 * time.Millisecond

// writeUse writes a line of the fleet's use, unless the process dies before, or its lease has ended.
func (l *limiter) writeUse(e core.WriteUsage) {
	s, life := l.sim, l.life
	tell := func(ev core.UsageWritten) {
		s.after(diskTakes, func() {
			if l.life == life {
				l.post(ev)
			}
		})
	}
	var write func()
	write = func() {
		switch {
		case l.life != life:
		case s.now < l.frozen:
			s.at(l.frozen, write)
		case l.clock() >= e.StartBefore:
			tell(core.UsageWritten{Token: e.Token, LeaseExpired: true})
		default:
			lines, _, _ := usage.ReadReports(bytes.NewReader(e.Report))
			s.leases.lines = append(s.leases.lines, lines...)
			tell(core.UsageWritten{Token: e.Token})
		}
	}
	s.after(diskTakes, write)
}

// sumUse holds the lines against what came to backends. A period that stands twice without a word is
// a broken rule.
func (j *judge) sumUse(s *sim) {
	if s.sc.Leases.Period <= 0 {
		return
	}
	r, sum := &s.result, usage.Merge(j.lines)
	r.Periods, r.UseFaults = len(sum.Reports), len(sum.Faults)
	var told float64
	for _, u := range sum.Usage {
		told += u.Units
	}
	var last uint32
	if n := len(sum.Reports); n > 0 {
		last = sum.Reports[n-1].Period
	}
	for _, f := range sum.Faults {
		if strings.Contains(f, "twice") {
			r.UseTwice++
			s.broken("%s", f)
		}
	}
	held := 0.0
	for _, l := range s.limiters {
		if l.machine != nil {
			held += l.machine.UnreportedUsage(last)
		}
	}
	for _, l := range sum.Reports {
		if l.MayRepeat {
			r.UseAgain++
		}
	}
	r.UseOver, r.UseUnder = max(told-j.taken, 0), max(j.taken-told-held, 0)
	if r.UseUnder > useFlying && r.UseFaults == 0 {
		s.broken("%.0f units are in no line, and no line says so", r.UseUnder)
	}
}

// who gives the limiters that a fault is for.
func (s *sim) who(f Fault) []int {
	var list []int
	switch f.Who {
	case "":
		return f.Limiters
	case "holder":
		if n := s.holder(); n >= 0 {
			list = append(list, n)
		}
	default:
		for _, n := range lease.AcceptorsOf(lease.TaskID(s.leases.task), s.sc.Limiters, s.sc.Leases.Keepers) {
			list = append(list, int(n))
		}
		if f.Who == "keeper" {
			list = list[s.random.IntN(len(list)):][:1]
		}
	}
	return list
}
