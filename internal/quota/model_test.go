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
	ledger      *Ledger
	epoch       uint32
	clockRate   float64 // relative to true time
	clockOffset time.Duration
	sent        map[int]uint32    // sequence number of the last message to each
	received    map[int][2]uint32 // epoch and sequence number of the last message of each
	servesFrom  time.Duration     // true time of the start; used if the tier has serving ages
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

func (w *tier) clock(n *limiter) time.Duration {
	return n.clockOffset + time.Duration(float64(w.now)*n.clockRate)
}

func (w *tier) start(i int) {
	n := w.limiters[i]
	n.epoch++
	n.sent, n.received = map[int]uint32{}, map[int][2]uint32{}
	n.servesFrom = w.now
	n.ledger = New(Config{
		Self: i, Limiters: len(w.limiters), GossipEnabled: true, Plans: []Plan{w.plan}, Epoch: n.epoch, LongestAttempt: w.longestAttempt,
	}, w.clock(n))
}

// servingAge is the time for which a limiter reports that it has been serving.
func (w *tier) servingAge(n *limiter) uint8 {
	if !w.servingAges {
		return 0
	}
	return uint8(min((w.now-n.servesFrom)/gossip.ServingAgeStep, gossip.ShuttingDownAge-1))
}

func (w *tier) account(n *limiter) *Account {
	return n.ledger.Account(7, 0, 0, len(w.limiters), w.clock(n))
}

// advanceTime advances true time, and refills the true ceiling.
func (w *tier) advanceTime(d time.Duration) {
	w.now += d
	w.ceiling = min(w.ceiling+d.Seconds()*w.plan.Ceiling.Rate, w.plan.Ceiling.Burst)
}

// request requests units at a limiter; what the limiter grants is taken out of the true ceiling.
func (w *tier) request(n *limiter, units float64, final bool) {
	a := w.account(n)
	n.ledger.RecordDemand(a, units, w.clock(n))
	if decision, _ := n.ledger.Reserve(a, units, final, w.clock(n)); decision == Granted {
		a.MarkSent(units)
		w.ceiling -= units
	}
	if w.ceiling < -1e-6 {
		w.t.Fatalf("the ceiling's level is %.3f, want at least 0", w.ceiling)
	}
}

// send puts a limiter's message to another in transit.
func (w *tier) send(i, j int) {
	n := w.limiters[i]
	requests, grants, _ := n.ledger.Compose(j, w.clock(n))
	n.sent[j]++
	receiverEpoch := uint32(0)
	if p := n.ledger.peers[j]; p != nil {
		receiverEpoch = p.epoch
	}
	w.inFlight = append(w.inFlight, message{
		from: i, to: j, epoch: n.epoch, receiverEpoch: receiverEpoch, servingAge: w.servingAge(n), seq: n.sent[j],
		requests: requests, grants: grants,
	})
}

// deliver passes a message to its receiver's ledger, as an admission controller does.
func (w *tier) deliver(m message) {
	n := w.limiters[m.to]
	now := w.clock(n)
	if last, ok := n.received[m.from]; ok && last[0] == m.epoch && int32(m.seq-last[1]) <= 0 {
		return
	}
	if !n.ledger.ObservePeer(m.from, m.epoch, m.receiverEpoch == n.epoch, m.servingAge, w.servingAge(n), now) {
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
		w := &tier{t: t, plan: Plan{
			Quota: Bucket{Rate: 50, Burst: 200}, Ceiling: Bucket{Rate: 10, Burst: 24},
		}}
		for i := range rapid.IntRange(2, 4).Draw(t, "limiters") {
			rate := rapid.SampledFrom([]float64{1, 1 + ClockDrift, 1 - ClockDrift}).Draw(t, "clock")
			w.limiters = append(w.limiters, &limiter{clockRate: rate, clockOffset: time.Hour + time.Duration(i)*time.Minute})
		}
		for i := range w.limiters { // the true ceiling starts empty, as any limiter assumes
			w.start(i)
		}
		at := rapid.IntRange(0, len(w.limiters)-1)
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			switch rapid.IntRange(0, 11).Draw(t, "step") {
			case 0, 1, 2, 3:
				n := w.limiters[at.Draw(t, "at")]
				w.request(n, float64(rapid.IntRange(1, 4).Draw(t, "units")), rapid.Bool().Draw(t, "last"))
			case 4, 5:
				w.advanceTime(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			case 6, 7, 8:
				if i, j := at.Draw(t, "from"), at.Draw(t, "to"); i != j {
					w.send(i, j)
				}
			case 9, 10:
				if len(w.inFlight) > 0 { // any message; some stay, to be delivered again
					k := rapid.IntRange(0, len(w.inFlight)-1).Draw(t, "message")
					m := w.inFlight[k]
					if rapid.IntRange(0, 3).Draw(t, "again") > 0 {
						w.inFlight = append(w.inFlight[:k], w.inFlight[k+1:]...)
					}
					w.deliver(m)
				}
			case 11:
				switch rapid.IntRange(0, 9).Draw(t, "failure") {
				case 0:
					w.start(at.Draw(t, "restarted"))
				case 1:
					w.advanceTime(time.Duration(rapid.IntRange(1, 8).Draw(t, "s")) * time.Second)
				case 2:
					w.inFlight = nil // all messages in transit are lost
				}
			}
		}
	})
}
