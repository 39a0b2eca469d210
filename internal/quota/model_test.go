package quota

import (
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lemongate/internal/gossip"
	"lemongate/internal/rapidtest"
)

// TestMain fixes the seed, so that every run gives the same result.
func TestMain(m *testing.M) { os.Exit(rapidtest.Main(m, "20261201", nil)) }

// message is a message in transit, or one that was delivered and may be delivered again.
type message struct {
	from, to             int
	epoch, receiverEpoch uint32
	servingAge           uint8
	seq                  uint32
	requests             []gossip.TransferRequest
	grants               []gossip.Grant
}

// limiter is a limiter of the model: a ledger, its clock, and the sequence numbers by which its transport orders
// messages.
type limiter struct {
	ledger       *Ledger
	epoch        uint32
	clockRate    float64 // relative to true time
	clockOffset  time.Duration
	sent         map[int]uint32    // sequence number of the last message to each
	received     map[int][2]uint32 // epoch and sequence number of the last message of each
	servingSince time.Duration     // true time of the start; used if the tier has serving ages
}

// tier is the model: limiters, messages, and the true level of the customer's ceiling.
type tier struct {
	t        *rapid.T
	plan     Plan
	limiters []*limiter
	inFlight []message
	now      time.Duration // true time
	ceiling  float64

	longestAttempt time.Duration
	servingAges    bool // limiters report that they have been serving since their start
}

func (tr *tier) clock(n *limiter) time.Duration {
	return n.clockOffset + time.Duration(float64(tr.now)*n.clockRate)
}

func (tr *tier) start(i int) {
	n := tr.limiters[i]
	n.epoch++
	n.sent, n.received = map[int]uint32{}, map[int][2]uint32{}
	n.servingSince = tr.now
	n.ledger = New(Config{
		Self: i, Limiters: len(tr.limiters), GossipEnabled: true, Plans: []Plan{tr.plan}, Epoch: n.epoch, LongestAttempt: tr.longestAttempt,
	}, tr.clock(n))
}

// servingAge returns the time for which a limiter reports that it has been serving.
func (tr *tier) servingAge(n *limiter) uint8 {
	if !tr.servingAges {
		return 0
	}
	return uint8(min((tr.now-n.servingSince)/gossip.ServingAgeStep, gossip.ShuttingDownAge-1))
}

func (tr *tier) account(n *limiter) *Account {
	return n.ledger.Account(7, 0, 0, len(tr.limiters), tr.clock(n))
}

// advanceTime advances true time, and refills the true ceiling.
func (tr *tier) advanceTime(d time.Duration) {
	tr.now += d
	tr.ceiling = min(tr.ceiling+d.Seconds()*tr.plan.Ceiling.Rate, tr.plan.Ceiling.Burst)
}

// request requests units at a limiter; what the limiter grants is taken out of the true ceiling.
func (tr *tier) request(n *limiter, units float64, final bool) {
	a := tr.account(n)
	n.ledger.RecordDemand(a, units, tr.clock(n))
	if decision, _ := n.ledger.Reserve(a, units, final, tr.clock(n)); decision == Granted {
		a.MarkSent(units)
		tr.ceiling -= units
	}
	if tr.ceiling < -1e-6 {
		tr.t.Fatalf("the ceiling's level is %.3f, want at least 0", tr.ceiling)
	}
}

// send puts a limiter's message to another in transit.
func (tr *tier) send(i, j int) {
	n := tr.limiters[i]
	requests, grants, _ := n.ledger.Compose(j, tr.clock(n))
	n.sent[j]++
	receiverEpoch := uint32(0)
	if p := n.ledger.peers[j]; p != nil {
		receiverEpoch = p.epoch
	}
	tr.inFlight = append(tr.inFlight, message{
		from: i, to: j, epoch: n.epoch, receiverEpoch: receiverEpoch, servingAge: tr.servingAge(n), seq: n.sent[j],
		requests: requests, grants: grants,
	})
}

// deliver passes a message to its receiver's ledger, as an admission controller does.
func (tr *tier) deliver(m message) {
	n := tr.limiters[m.to]
	now := tr.clock(n)
	if last, ok := n.received[m.from]; ok && last[0] == m.epoch && int32(m.seq-last[1]) <= 0 {
		return
	}
	if !n.ledger.ObservePeer(m.from, m.epoch, m.receiverEpoch == n.epoch, m.servingAge, tr.servingAge(n), now) {
		return
	}
	n.received[m.from] = [2]uint32{m.epoch, m.seq}
	for _, request := range m.requests {
		n.ledger.HandleRequest(m.from, request, now)
	}
	if m.receiverEpoch == n.epoch {
		for _, grant := range m.grants {
			n.ledger.HandleGrant(m.from, grant, now)
		}
	}
}

// All limiters together never exceed the ceiling, whichever messages are lost, repeated or reordered, whichever
// limiters restart, and however far clocks within ClockDrift differ.
func TestCeilingModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := &tier{t: t, plan: Plan{
			Quota: Bucket{Rate: 50, Burst: 200}, Ceiling: Bucket{Rate: 10, Burst: 24},
		}}
		for i := range rapid.IntRange(2, 4).Draw(t, "limiters") {
			rate := rapid.SampledFrom([]float64{1, 1 + ClockDrift, 1 - ClockDrift}).Draw(t, "clock")
			tr.limiters = append(tr.limiters, &limiter{clockRate: rate, clockOffset: time.Hour + time.Duration(i)*time.Minute})
		}
		for i := range tr.limiters { // the true ceiling starts empty, as any limiter assumes
			tr.start(i)
		}
		limiterIndex := rapid.IntRange(0, len(tr.limiters)-1)
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			switch rapid.IntRange(0, 11).Draw(t, "step") {
			case 0, 1, 2, 3:
				n := tr.limiters[limiterIndex.Draw(t, "at")]
				tr.request(n, float64(rapid.IntRange(1, 4).Draw(t, "units")), rapid.Bool().Draw(t, "last"))
			case 4, 5:
				tr.advanceTime(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			case 6, 7, 8:
				if i, j := limiterIndex.Draw(t, "from"), limiterIndex.Draw(t, "to"); i != j {
					tr.send(i, j)
				}
			case 9, 10:
				if len(tr.inFlight) > 0 { // any message; some stay, to be delivered again
					k := rapid.IntRange(0, len(tr.inFlight)-1).Draw(t, "message")
					m := tr.inFlight[k]
					if rapid.IntRange(0, 3).Draw(t, "again") > 0 {
						tr.inFlight = append(tr.inFlight[:k], tr.inFlight[k+1:]...)
					}
					tr.deliver(m)
				}
			case 11:
				switch rapid.IntRange(0, 9).Draw(t, "failure") {
				case 0:
					tr.start(limiterIndex.Draw(t, "restarted"))
				case 1:
					tr.advanceTime(time.Duration(rapid.IntRange(1, 8).Draw(t, "s")) * time.Second)
				case 2:
					tr.inFlight = nil // all messages in transit are lost
				}
			}
		}
	})
}
