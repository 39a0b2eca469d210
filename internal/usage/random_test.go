package usage

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// All recorded usage is reported exactly once under random faults: lost messages, isolated limiters, requests
// delivered again late, lease holders that crash at any point, and hot restarts of limiters.
func TestUsageIsReportedOnceUnderRandomFaults(t *testing.T) {
	const seeds = 400
	for seed := range uint64(seeds) {
		tier := randomTier{testTier: newTestTier(t, 4), random: rand.New(rand.NewPCG(seed, 0))}
		tier.run()
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// randomTier is a testTier with random faults.
type randomTier struct {
	*testTier
	random   *rand.Rand
	recorded float64
}

func (p *randomTier) run() {
	const rounds = 14
	p.changeLease(0)
	p.report(nothingLost)
	for range rounds {
		p.addUsage()
		p.maybeHotRestart()
		p.redeliverRequest()
		if !p.reportOrCrash() {
			p.changeLease(Limiter(p.random.IntN(len(p.recorders))))
		}
	}
	p.report(nothingLost) // the last lease holder may have crashed and left a period without a report
	p.changeLease(1)
	p.report(nothingLost)
	p.report(nothingLost)
	for _, fault := range p.check(p.recorded).Faults {
		if strings.Contains(fault, "missing") || strings.Contains(fault, "twice") {
			p.t.Errorf("%s", fault)
		}
	}
}

func (p *randomTier) chance(part float64) bool { return p.random.Float64() < part }

func (p *randomTier) addUsage() {
	for _, r := range p.recorders {
		for range p.random.IntN(30) {
			units := float64(1 + p.random.IntN(9))
			r.Add(Key{fmt.Sprintf("%016x", p.random.IntN(40)), 0}, units)
			p.recorded += units
		}
	}
}

// maybeHotRestart hot-restarts a random limiter with a probability of 0.2.
func (p *randomTier) maybeHotRestart() {
	if !p.chance(0.2) {
		return
	}
	p.hotRestart(p.random.IntN(len(p.recorders)))
}

// redeliverRequest delivers an earlier request again with a probability of 0.3; the reply is dropped.
func (p *randomTier) redeliverRequest() {
	if len(p.sent) > 0 && p.chance(0.3) {
		late := p.sent[p.random.IntN(len(p.sent))]
		p.recorders[late.To].HandleRequest(late.Request)
	}
}

// reportOrCrash collects and reports one period, and reports whether the lease holder did not crash before the end.
func (p *randomTier) reportOrCrash() bool {
	const steps = 6
	crashAfter := p.random.IntN(4 * steps)
	isolated := Limiter(p.random.IntN(4 * len(p.recorders)))
	loss := p.random.Float64() * 0.5
	lost := func(to Limiter, _ bool) bool { return to == isolated || p.chance(loss) }
	c := p.open()
	if crashAfter == 0 {
		return false
	}
	p.query(c, lost)
	if crashAfter == 1 {
		return false
	}
	p.storeMayBeWritten(c)
	if crashAfter == 2 {
		return false
	}
	p.write(c)
	if crashAfter == 3 {
		return false
	}
	p.storeWritten(c)
	if crashAfter == 4 {
		return false
	}
	p.sendConfirmations(c, lost)
	return crashAfter != 5
}
