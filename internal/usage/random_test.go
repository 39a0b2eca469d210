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
			t.Fatalf("failed with seed %d", seed)
		}
	}
}

// randomTier is a testTier with random faults.
type randomTier struct {
	*testTier
	random   *rand.Rand
	recorded float64
}

func (tier *randomTier) run() {
	const rounds = 14
	tier.changeLease(0)
	tier.reportPeriod(nothingLost)
	for range rounds {
		tier.addUsage()
		tier.maybeHotRestart()
		tier.redeliverRequest()
		if !tier.reportOrCrash() {
			tier.changeLease(Limiter(tier.random.IntN(len(tier.recorders))))
		}
	}
	tier.reportPeriod(nothingLost) // the last lease holder may have crashed and left a period without a report
	tier.changeLease(1)
	tier.reportPeriod(nothingLost)
	tier.reportPeriod(nothingLost)
	for _, fault := range tier.checkUnits(tier.recorded).Faults {
		if strings.Contains(fault, "missing") || strings.Contains(fault, "twice") {
			tier.t.Errorf("%s", fault)
		}
	}
}

// chance returns true with the given probability.
func (tier *randomTier) chance(probability float64) bool { return tier.random.Float64() < probability }

func (tier *randomTier) addUsage() {
	for _, r := range tier.recorders {
		for range tier.random.IntN(30) {
			units := float64(1 + tier.random.IntN(9))
			r.Add(Key{fmt.Sprintf("%016x", tier.random.IntN(40)), 0}, units)
			tier.recorded += units
		}
	}
}

// maybeHotRestart hot-restarts a random limiter with a probability of 0.2.
func (tier *randomTier) maybeHotRestart() {
	if !tier.chance(0.2) {
		return
	}
	tier.hotRestart(tier.random.IntN(len(tier.recorders)))
}

// redeliverRequest delivers an earlier request again with a probability of 0.3; the reply is dropped.
func (tier *randomTier) redeliverRequest() {
	if len(tier.sent) > 0 && tier.chance(0.3) {
		late := tier.sent[tier.random.IntN(len(tier.sent))]
		tier.recorders[late.To].HandleRequest(late.Request)
	}
}

// reportOrCrash collects one period and writes its report, while messages to and from the limiters are lost at
// random. With a probability of 1/4 the lease holder crashes after a random step: reportOrCrash then returns false.
func (tier *randomTier) reportOrCrash() bool {
	const steps = 6
	crashAfter := tier.random.IntN(4 * steps)
	isolated := Limiter(tier.random.IntN(4 * len(tier.recorders))) // none with a probability of 3/4
	loss := tier.random.Float64() * 0.5
	lost := func(to Limiter, _ bool) bool { return to == isolated || tier.chance(loss) }
	c := tier.startCollection()
	if crashAfter == 0 {
		return false
	}
	tier.queryAll(c, lost)
	if crashAfter == 1 {
		return false
	}
	tier.storeMayBeWritten(c)
	if crashAfter == 2 {
		return false
	}
	tier.write(c)
	if crashAfter == 3 {
		return false
	}
	tier.storeWritten(c)
	if crashAfter == 4 {
		return false
	}
	tier.sendConfirmations(c, lost)
	return crashAfter != 5
}
