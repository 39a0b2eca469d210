package processharness

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"lemongate/internal/lease"
	"lemongate/internal/simulation"
	"lemongate/internal/usage"
)

// This file plays a scenario of the simulator on processes: the same limiters, customers,
// backends and faults, in real time. What the stand-ins saw is judged, by one clock.

// excused is how long around the time that a limiter was killed or stood still its clients may
// miss an answer.
const excused = 200 * time.Millisecond

// A play is a scenario on processes.
type play struct {
	*Tier
	sc     simulation.Scenario
	rng    *rand.Rand
	begun  time.Time
	result simulation.Result

	mu    sync.Mutex
	procs []*Process // nil for one that is down
	away  [][]span   // when each limiter was down or stood still
	stop  chan struct{}
	all   sync.WaitGroup
}

// A span is some time; it lasts while to is zero.
type span struct{ from, to time.Time }

// Plays tells what of a fault cannot be played on processes; nil for nothing.
func Plays(f simulation.Fault) error {
	switch {
	case f.Kind == "takeover" || f.Kind == "walk":
		return fmt.Errorf("kind: no %ss on processes; see cmd/lemongate", f.Kind)
	case f.Kind == "silent" || f.Zone > 0:
		return errors.New("kind: machines that say nothing, and zones, in virtual time alone")
	case f.Kind == "clock" && (f.At > 0 || f.Who != ""):
		return errors.New("at_s: a process has its clock from its start on")
	}
	return nil
}

// Play plays a scenario once. Clocks run at other rates from the start of a process on, so a clock
// fault has to begin at 0.
func Play(h Host, sc simulation.Scenario, seed uint64, program ...string) simulation.Result {
	useDir := h.TempDir()
	if sc.Leases != nil {
		program = append(slices.Clone(program), "--operator", operatorsFile(h, sc.Leases, useDir))
	}
	p := &play{
		Tier: New(h, sc.Limiters, sc.Backends.Count, program...), sc: sc, rng: rand.New(rand.NewPCG(seed, 11)),
		procs: make([]*Process, sc.Limiters), away: make([][]span, sc.Limiters), stop: make(chan struct{}),
	}
	p.Util = true
	p.Plans = nil
	for _, c := range sc.Plans {
		p.Plans = append(p.Plans, Plan{Name: c.Name, Rate: c.Rate, Burst: c.Burst, CeilRate: c.CeilingRate, Ceil: c.CeilingBurst})
	}
	for _, b := range p.Backends {
		b.Delay(time.Duration(sc.Backends.Work * float64(time.Millisecond)))
	}
	for _, f := range sc.Faults {
		if f.Kind == "clock" {
			for _, n := range f.Limiters {
				p.Limiters[n].Env = append(p.Limiters[n].Env, fmt.Sprintf("LEMONGATE_LAB_CLOCK=%g", f.Rate))
			}
		}
	}
	net := sc.Network
	p.Net.Bad(net.Loss, net.Twice, time.Duration(net.DelayMax*float64(time.Millisecond)))
	for i, l := range p.Limiters {
		p.procs[i] = l.Start()
	}
	for _, proc := range p.procs {
		proc.Await(h)
	}
	p.begun = time.Now()
	load, customers := p.clients()
	load.Resends = true
	for _, f := range sc.Faults {
		p.all.Go(func() { p.faults(f) })
	}
	p.sleep(time.Duration(sc.Seconds * float64(time.Second)))
	close(p.stop)
	p.all.Wait()
	results := load.End()
	p.result.Resent = load.Resent
	units := p.judge(results, customers)
	if sc.Leases != nil && sc.Leases.Period > 0 {
		time.Sleep(time.Duration(settlePeriods * sc.Leases.Period * float64(time.Millisecond))) // for the last lines
		p.judgeUse(useDir, units)
	}
	return p.result
}

// settlePeriods is how many periods of the roll-up after the last req all use is in lines.
const settlePeriods = 3

// operatorsFile writes the operators' file of a scenario.
func operatorsFile(h Host, l *simulation.Leases, useDir string) string {
	path := filepath.Join(h.TempDir(), "operator.json")
	file := map[string]any{"leases": map[string]any{"on": true, "tasks": l.Tasks, "length_ms": int(l.Length), "keepers": l.Keepers}}
	if l.Period > 0 {
		file["rollup"] = map[string]any{"dir": useDir, "period_s": int(l.Period / 1000)}
	}
	data, err := json.Marshal(file)
	if err == nil {
		err = os.WriteFile(path, data, 0o600)
	}
	if err != nil {
		h.Fatal(err)
	}
	return path
}

// sleep waits, and tells whether the play goes on.
func (p *play) sleep(d time.Duration) bool {
	select {
	case <-p.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// A person is a customer.
type person struct {
	plan          int
	first, spread int
	busiest       int
	weight        float64 // reqs a second
}

// clients begin to ask: a customer's reqs come in by its set, most by its busiest limiter, at even
// gaps for all together.
func (p *play) clients() (*Load, []person) {
	t := p.sc.Traffic
	mean, all := 0.0, 0.0
	for _, u := range t.Units {
		mean += u / float64(len(t.Units))
	}
	var list []person
	for i, plan := range p.sc.Plans {
		for range plan.Customers {
			c := person{plan: i, first: p.rng.IntN(p.sc.Limiters), spread: t.Spread, weight: plan.Rate * plan.Times / mean}
			if c.spread <= 0 || c.spread > p.sc.Limiters {
				c.spread = p.sc.Limiters
			}
			c.busiest = p.rng.IntN(c.spread)
			list = append(list, c)
			all += c.weight
		}
	}
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(p.rng.Uint64(), 1))
	return p.Begin(all, func(n int) Req {
		mu.Lock()
		defer mu.Unlock()
		who, at := 0, rng.Float64()*all
		for who < len(list)-1 && at > list[who].weight {
			at -= list[who].weight
			who++
		}
		c := &list[who]
		place := c.busiest
		if rng.Float64() >= t.Busiest && c.spread > 1 {
			place = (c.busiest + 1 + rng.IntN(c.spread-1)) % c.spread
		}
		q := Req{
			Limiter: p.up(c, place), Class: "read", Plan: p.Plans[c.plan].Name, Customer: uint64(who + 1), First: c.first, Spread: c.spread,
			Units: int(t.Units[rng.IntN(len(t.Units))]),
		}
		if rng.Float64() < t.Keyed {
			q.Class, q.Key, q.Body = "post", fmt.Sprintf("%032x", n), 200
		}
		return q
	}), list
}

// up is the limiter that a req comes in by: the front leaves out what is down.
func (p *play) up(c *person, place int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.procs)
	for i := range c.spread {
		if k := (c.first + (place+i)%c.spread) % n; p.procs[k] != nil {
			return k
		}
	}
	return (c.first + place) % n
}

// faults plays a fault, again and again where it is to.
func (p *play) faults(f simulation.Fault) {
	at := p.begun.Add(time.Duration(f.At * float64(time.Second)))
	for p.sleep(time.Until(at)) {
		p.fault(f)
		next := at.Add(time.Duration(f.Every * float64(time.Second)))
		if f.Every <= 0 || f.Kind == "restart" && f.For > 0 && next.After(p.begun.Add(time.Duration((f.At+f.For)*float64(time.Second)))) {
			return
		}
		at = next
	}
}

// fault plays a fault once, to its end.
func (p *play) fault(f simulation.Fault) {
	who, lasts := p.who(f), time.Duration(f.For*float64(time.Second))
	each := func(do func(n int)) {
		for _, n := range who {
			do(n)
		}
	}
	switch f.Kind {
	case "cut", "mute", "deaf":
		ways := p.cutWays(f, who)
		for _, w := range ways {
			p.Net.Cut(w[0], w[1], true)
		}
		p.sleep(lasts)
		for _, w := range ways {
			p.Net.Cut(w[0], w[1], false)
		}
	case "loss":
		net := p.sc.Network
		late := time.Duration(net.DelayMax * float64(time.Millisecond))
		p.Net.Bad(f.Rate, net.Twice, late)
		p.sleep(lasts)
		p.Net.Bad(net.Loss, net.Twice, late)
	case "restart":
		each(func(n int) { p.end(n) })
		p.sleep(time.Duration(f.Down * float64(time.Second)))
		each(func(n int) { p.start(n) })
	case "stall":
		each(func(n int) { p.signal(n, syscall.SIGSTOP) })
		p.sleep(lasts)
		each(func(n int) { p.signal(n, syscall.SIGCONT) })
	case "down", "backend":
		for _, n := range f.Backends {
			p.Backends[n].Down(true)
		}
		lag := min(lasts, time.Duration(p.sc.Backends.ListLag*float64(time.Millisecond)))
		if f.Kind == "backend" && p.sleep(lag) {
			for _, n := range f.Backends {
				p.List(p.Backends[n], false)
			}
			lasts -= lag
		}
		p.sleep(lasts)
		for _, n := range f.Backends {
			p.Backends[n].Down(false)
			p.List(p.Backends[n], true)
		}
	}
}

// cutWays are the ways, from one limiter to another, that a fault cuts.
func (p *play) cutWays(f simulation.Fault, who []int) (list [][2]int) {
	group := map[int]int{}
	for g, members := range f.Groups {
		for _, n := range members {
			group[n] = g
		}
	}
	for i := range p.procs {
		for j := range p.procs {
			if i != j && (f.Kind == "cut" && group[i] != group[j] || f.Kind == "mute" && slices.Contains(who, i) ||
				f.Kind == "deaf" && slices.Contains(who, j)) {
				list = append(list, [2]int{i, j})
			}
		}
	}
	for _, w := range f.Ways {
		list = append(list, [2]int{w[0], w[1]})
	}
	return list
}

// end kills a limiter, and start starts it again, with nothing.
func (p *play) end(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.procs[n] != nil {
		p.away[n] = append(p.away[n], span{from: time.Now()})
		p.procs[n].Signal(syscall.SIGKILL)
		p.procs[n].Wait(p.T)
		p.procs[n] = nil
	}
}

func (p *play) start(n int) {
	proc := p.Limiters[n].Start()
	Until(p.T, "a process that takes clients", proc.Healthy)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.procs[n] = proc
	p.back(n)
}

func (p *play) back(n int) {
	if last := len(p.away[n]) - 1; last >= 0 {
		p.away[n][last].to = time.Now()
	}
}

func (p *play) signal(n int, s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.procs[n] == nil {
		return
	}
	if p.procs[n].Signal(s); s == syscall.SIGSTOP {
		p.away[n] = append(p.away[n], span{from: time.Now()})
	} else {
		p.back(n)
	}
}

// who gives the limiters that a fault is for. Who holds a lease is asked of the limiters: it aims
// the fault, and proves nothing.
func (p *play) who(f simulation.Fault) (list []int) {
	switch f.Who {
	case "":
		return f.Limiters
	case "holder":
		p.mu.Lock()
		procs := slices.Clone(p.procs)
		p.mu.Unlock()
		for i, proc := range procs {
			if proc != nil && holds(proc) {
				return []int{i}
			}
		}
		return nil
	}
	for _, n := range lease.AcceptorsOf(lease.TaskID(p.sc.Leases.Tasks[0]), p.sc.Limiters, p.sc.Leases.Keepers) {
		list = append(list, int(n))
	}
	if f.Who == "keeper" {
		return list[time.Now().UnixNano()%int64(len(list)):][:1]
	}
	return list
}

// holds asks a process whether it holds the first task's lease.
func holds(proc *Process) bool {
	client := http.Client{Timeout: 100 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + proc.Console + "/leases")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	var list []lease.View
	return json.Unmarshal(data, &list) == nil && len(list) > 0 && list[0].Holds
}

// judge holds what the stand-ins saw against what is owed.
func (p *play) judge(results []Result, customers []person) (units map[string]float64) {
	r, broken := &p.result, p.broken
	units = map[string]float64{}
	for _, q := range results {
		r.Reqs++
		units[q.ID] = float64(max(q.Units, 1))
		switch {
		case q.Status == 0 && !p.excused(q):
			r.Lost++
			broken("limiter %d, %.3f s: no answer after %v: %s", q.Limiter, q.At.Sub(p.begun).Seconds(), q.Took, q.Fault)
		case q.Status == http.StatusOK:
			if r.Served++; q.Body != fmt.Sprintf("%s %d", q.ID, q.Req.Body) {
				broken("limiter %d: %s was served with %q", q.Limiter, q.ID, q.Body)
			}
		case q.Status == http.StatusTooManyRequests || q.Status == http.StatusServiceUnavailable:
			r.Refused++
		case q.Status != 0:
			r.Failed++
		}
	}
	if r.Doubled = p.Doubled(); r.Doubled > 0 {
		broken("%d keys had their effect twice", r.Doubled)
	}
	p.judgeStores(units, customers, broken)
	var token uint64
	for i, a := range p.Acts() {
		if r.Acts++; a.Token < token {
			r.TokenFalls++
			broken("act %d, %.3f s: under token %d after %d", i, a.At.Sub(p.begun).Seconds(), a.Token, token)
		} else if a.Token > token {
			r.Holders++
		}
		token = max(token, a.Token)
	}
	if !Locked(p.Acts()) {
		broken("what was done under the lease is no history of a lock with tokens")
	}
	each, bytes := p.Net.Leases()
	for _, n := range each {
		r.LeaseMessages += float64(n) / p.sc.Seconds
		r.LeaseBusiest = max(r.LeaseBusiest, float64(n)/p.sc.Seconds)
	}
	r.LeaseBytes = float64(bytes) / p.sc.Seconds
	r.Messages = p.Net.Passed()
	r.MessagesPerReq = float64(r.Messages) / float64(max(r.Reqs, 1))
	return units
}

func (p *play) broken(format string, args ...any) {
	r := &p.result
	r.Breaches++
	if len(r.Broken) < 5 {
		r.Broken = append(r.Broken, fmt.Sprintf(format, args...))
	}
}

// judgeUse holds the lines of the fleet's use against the units that came to backends.
func (p *play) judgeUse(dir string, units map[string]float64) {
	var lines []usage.Report
	files, _ := filepath.Glob(filepath.Join(dir, "*.jsonl"))
	for _, path := range files {
		f, err := os.Open(path)
		if err != nil {
			p.T.Fatal(err)
		}
		more, torn, err := usage.ReadReports(f)
		f.Close()
		if err != nil || len(torn) > 0 {
			p.broken("%s: lines %v cannot be read, %v", filepath.Base(path), torn, err)
		}
		lines = append(lines, more...)
	}
	r, sum := &p.result, usage.Merge(lines)
	r.Periods, r.UseFaults = len(sum.Reports), len(sum.Faults)
	for _, f := range sum.Faults {
		if strings.Contains(f, "twice") {
			r.UseTwice++
			p.broken("%s", f)
		}
	}
	told, came := 0.0, 0.0
	for _, u := range sum.Usage {
		told += u.Units
	}
	byID, _ := p.Attempts()
	for id := range byID {
		came += units[id]
	}
	r.UseOver, r.UseUnder = max(told-came, 0), max(came-told, 0)
	if r.UseUnder > 0.5 && r.UseFaults == 0 {
		p.broken("%.0f of %.0f units are in no line, and no line says so", r.UseUnder, came)
	}
}

// judgeStores plays the true stores by what came to the backends, in the order it came.
func (p *play) judgeStores(units map[string]float64, customers []person, broken func(string, ...any)) {
	quotas, ceilings := map[uint64]*simulation.Store{}, map[uint64]*simulation.Store{}
	for i, c := range customers {
		plan := p.sc.Plans[c.plan]
		q, l := simulation.NewStore(plan.Rate, plan.Burst, 0), simulation.NewStore(plan.CeilingRate, plan.CeilingBurst, 0)
		quotas[uint64(i+1)], ceilings[uint64(i+1)] = &q, &l
	}
	r, n := &p.result, float64(max(len(customers), 1))
	_, all := p.Attempts()
	r.Fetches = len(all)
	seen := map[string]bool{}
	for _, a := range all {
		number, err := strconv.ParseUint(a.Customer, 16, 64)
		u, mine := units[a.CallID]
		if seen[a.CallID] || err != nil || quotas[number] == nil || !mine {
			continue
		}
		seen[a.CallID] = true
		at := a.At.Sub(p.begun)
		if quotas[number].Take(at, u) {
			r.Inside += u / n
		} else {
			r.Beyond += u / n
		}
		if plan := p.sc.Plans[customers[number-1].plan]; plan.CeilingRate > 0 {
			if under := -ceilings[number].Draw(at, u); under > r.UnderWorst {
				if r.UnderWorst = under; under > plan.Tolerance {
					broken("%.3f s: the ceiling's store of customer %d is %.1f below nothing", at.Seconds(), number, under)
				}
			}
		}
	}
}

// excused tells whether the limiter of a req was killed or stood still meanwhile.
func (p *play) excused(q Result) bool {
	for _, s := range p.away[q.Limiter] {
		if s.to.IsZero() || q.At.Before(s.to.Add(excused)) && q.At.Add(q.Took).After(s.from.Add(-excused)) {
			return true
		}
	}
	return false
}
