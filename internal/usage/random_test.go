package usage

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// Under random losses, cuts, late requests, lease holders that die at any point and hot restarts of
// limiters, all that was recorded is reported once.
func TestUsageIsReportedOnceUnderRandomFaults(t *testing.T) {
	const seeds = 400
	for seed := range uint64(seeds) {
		play := randomPeriods{testPeriods: newTestPeriods(t, 4), random: rand.New(rand.NewPCG(seed, 0))}
		play.run()
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// randomPeriods are testPeriods with random faults.
type randomPeriods struct {
	*testPeriods
	random   *rand.Rand
	recorded float64
}

func (p *randomPeriods) run() {
	const rounds = 14
	p.changeLease(0)
	p.report(nothingLost)
	for range rounds {
		p.addUsage()
		p.restartOne()
		p.repeatLateRequest()
		if !p.reportOrDie() {
			p.changeLease(Limiter(p.random.IntN(len(p.recorders))))
		}
	}
	p.report(nothingLost) // the last one to die left a period
	p.changeLease(1)
	p.report(nothingLost)
	p.report(nothingLost)
	for _, fault := range p.check(p.recorded).Faults {
		if strings.Contains(fault, "missing") || strings.Contains(fault, "twice") {
			p.t.Errorf("%s", fault)
		}
	}
}

func (p *randomPeriods) chance(part float64) bool { return p.random.Float64() < part }

func (p *randomPeriods) addUsage() {
	for _, r := range p.recorders {
		for range p.random.IntN(30) {
			units := float64(1 + p.random.IntN(9))
			r.Add(Key{fmt.Sprintf("%016x", p.random.IntN(40)), 0}, units)
			p.recorded += units
		}
	}
}

// restartOne has another process take over from that of some limiter.
func (p *randomPeriods) restartOne() {
	if !p.chance(0.2) {
		return
	}
	p.hotRestart(p.random.IntN(len(p.recorders)))
}

// repeatLateRequest delivers an earlier request once more; the reply finds nobody.
func (p *randomPeriods) repeatLateRequest() {
	if len(p.sent) > 0 && p.chance(0.3) {
		late := p.sent[p.random.IntN(len(p.sent))]
		p.recorders[late.To].HandleRequest(late.Request)
	}
}

// reportOrDie does the work on one period, and reports whether the lease holder lived to its end.
func (p *randomPeriods) reportOrDie() bool {
	const steps = 6
	diesAfter := p.random.IntN(4 * steps)
	cut := Limiter(p.random.IntN(4 * len(p.recorders)))
	loss := p.random.Float64() * 0.5
	lost := func(to Limiter, _ bool) bool { return to == cut || p.chance(loss) }
	c := p.open()
	if diesAfter == 0 {
		return false
	}
	p.query(c, lost)
	if diesAfter == 1 {
		return false
	}
	p.claim(c)
	if diesAfter == 2 {
		return false
	}
	p.write(c)
	if diesAfter == 3 {
		return false
	}
	p.confirm(c)
	if diesAfter == 4 {
		return false
	}
	p.sendConfirmations(c, lost)
	return diesAfter != 5
}
