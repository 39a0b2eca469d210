package admission

import (
	"cmp"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"lemongate/internal/gossip"
	"lemongate/internal/quota"
	"lemongate/internal/rate"
)

// This file holds what a Gateway remembers, and nothing that decides.

// newController returns a Gateway with what the settings say and nothing more.
func newController(set Settings, seed uint64) *Controller {
	g := &Controller{
		settings: set, random: rand.New(rand.NewPCG(seed, 0)), peers: map[int]*peer{}, classesByName: map[string]*requestClass{},
		planIndex: map[string]int{}, requests: map[RequestID]*request{}, backendsByID: map[string]*backend{},
		backendsByGossipKey: map[uint32]*backend{}, customers: map[customerKey]*customer{}, recoveryUntil: math.MaxInt64,
	}
	g.settings.Limiters = max(set.Limiters, 1)
	for _, c := range set.Classes {
		c.LatencyObjective = cmp.Or(max(c.LatencyObjective, 0), max(c.Deadline, 0), time.Second)
		x := &requestClass{Class: c, share: 1 / float64(len(set.Classes))}
		g.classes = append(g.classes, x)
		g.classesByName[c.Name] = x
		g.longestObjective = max(g.longestObjective, c.LatencyObjective)
		g.shortestObjective = min(cmp.Or(g.shortestObjective, c.LatencyObjective), c.LatencyObjective)
		g.meanObjective += c.LatencyObjective.Seconds() / float64(len(set.Classes))
	}
	g.shortestObjective, g.longestObjective = cmp.Or(g.shortestObjective, time.Second), cmp.Or(g.longestObjective, time.Second)
	g.classesByWeight = slices.Clone(g.classes)
	for i := range set.Plans {
		g.planIndex[set.Plans[i].Name] = i
	}
	return g
}

// A Controller makes the decisions of one front door.
type Controller struct {
	settings Settings   `json:"-"`
	random   *rand.Rand `json:"-"`
	now      time.Duration
	actions  []Action `json:"-"`
	started  bool

	classes         []*requestClass          // as in the settings
	classesByName   map[string]*requestClass `json:"-"`
	classesByWeight []*requestClass          `json:"-"` // the same, by falling worth
	planIndex       map[string]int           `json:"-"`
	requests        map[RequestID]*request   `json:"-"`
	waitingRetries  []*request               `json:"-"` // waiting for a backend that their next attempt may use

	backends     []*backend `json:"-"` // listed and live; in a large tier those first that this gateway keeps to
	backendsByID map[string]*backend

	backendsByGossipKey map[uint32]*backend `json:"-"` // listed and live, by what peers call them
	pendingObservations []*backend          `json:"-"` // seen of late and not yet told often enough
	meanLoad            float64             // of the load reports seen here

	ledger                     *quota.Ledger             // what is held here of the customers' stores
	customers                  map[customerKey]*customer `json:"-"`
	customerOrder              []*customer               // as first met
	customersWaiting           []*customer               `json:"-"` // whose requests wait for the others' word
	firstRequestAt             time.Duration             // when the first request came
	leaving                    bool                      // this gateway leaves
	initialUtilizations        []float64                 // how busy backends were when they were first heard of
	peers                      map[int]*peer
	peerMessageInterval        time.Duration  `json:"-"` // between messages to one peer
	queuedPeers                []*peer        `json:"-"` // something is to be told there
	messageInterval            time.Duration  `json:"-"` // between any two messages, in a tier where no limiter has but a few peers
	transferRequestsPacedUntil time.Duration  // when that allows the next ask
	messagesPacedUntil         time.Duration  // and when all messages, answers too, allow the next news
	nextObservationsAt         time.Duration  // when what only carries news may go, in a large tier
	urgentUntil                time.Duration  // until when all of the pace is for news: a backend fails or recovers
	probeAllowance             rate.Allowance // probes that may go
	rejections                 RejectionCounts

	shortestObjective, longestObjective time.Duration `json:"-"`
	nextControlAt                       time.Duration
	timerAt, nextDueAt                  time.Duration  `json:"-"` // the timer set, and when something is due
	fractionalWindow                    rate.Allowance // attempts, while the window is under one
	slowStartAllowance                  rate.Allowance // attempts at a wholly cold choice
	windowScale                         float64        // of the window
	upstreamPressure                    float64        // what attempts take, in their part of the aim
	quotaRate                           float64        // requests a second that the customers served here may send
	meanObjective                       float64        `json:"-"`
	controlPeriod                       float64        `json:"-"` // seconds of a control period
	memorySeconds                       float64        `json:"-"` // seconds over which rates are seen
	forgetAfter                         time.Duration  `json:"-"` // gone backends go after this
	medianLatencyPerAttempt             float64        // median slope of the backends
	windowWasFull                       bool           // the window was full at some time in this period
	retryTokens                         float64
	maxRetryTokens                      float64       `json:"-"` // saved up at most
	attemptRate                         rate.Decaying // first and further attempts
	pollDue                             bool          // the list must be asked for

	recoveryUntil time.Duration `json:"-"` // ejected backends may be tried until then; see Trials
}

type requestClass struct {
	Class
	queue  []*request `json:"-"`
	share  float64
	credit float64

	recentBudgets                                [16]time.Duration // of late, a ring
	budgetsSeen                                  int
	usualBudget                                  time.Duration // the commonest of them
	arrivals, completed                          int           // this period
	latencySum                                   float64       // this period's sum over ended, hold included
	attemptsMeasured                             int           // this period
	attemptLatencySum                            float64       // this period's sum over served, hold excluded
	arrivalRate, meanLatency, meanSquaredLatency float64       // arrivals a second; attempt latency and its square
	latencySamples                               int           // that these come from
	idleLatency                                  float64       // the least mean of late
}

type request struct {
	*Request
	class          *requestClass
	customer       *customer
	receivedAt     time.Duration
	usefulUntil    time.Duration // an answer after this is worth little
	deadline       time.Duration
	attempts       int
	backend        *backend // where an attempt is out
	sentAt         time.Duration
	openAtSend     int // attempts out there when it was sent, itself included
	mayHaveRunOn   *backend
	mayHaveRunFrom time.Duration // send of the first attempt that may have run
	attempted      []*backend
	queued         bool
	ended          bool
	responding     bool
	canceled       bool // its attempt has been called off
	retryPrepaid   bool // and what the next one costs is put by
	ageRecorded    bool // its attempt counted by its age already
}

type backend struct {
	Backend
	open                 []*request `json:"-"` // attempts out, oldest first
	latencyPerAttempt    float64    // latency per attempt out, in class means
	samples              float64    // that tell it, faded
	lastResponseAt       time.Duration
	failureRate          float64 // share of failures
	ejectedUntil         time.Duration
	consecutiveEjections int                   // ejections in a row
	rejectedUntil        map[int]time.Duration // kinds of request turned away; left alone until then
	unavailable          bool
	removedAt            time.Duration // when it went, 0 while it is listed

	gossipKey     uint32        // what peers call it
	relativeLoad  float64       // against its fellows, as anyone saw it last
	observedAt    time.Duration // when that was
	gossipRepeats int           // times still to be told

	announcedFailureRate float64 // as it was when others had to know at once

	initialReportSeen bool // how busy it was at first is known
}

// A customerKey names a customer on a plan. A name may come with another plan, as after a change of
// it; what a request is judged by is the plan that it names.
type customerKey struct{ name, plan string }

type customer struct {
	name         string
	plan         *Plan          `json:"-"`
	planIndex    int            // of the plan
	firstLimiter int            // of its set
	setSize      int            // of its set
	account      *quota.Account `json:"-"`
	lastSeen     time.Duration
	meanUnits    float64 // running mean of a request's

	inFlight, queued int        `json:"-"`
	waitsForGrant    bool       `json:"-"` // requests wait for the others' word
	waiting          []*request `json:"-"` // these, in order
}

type peer struct {
	number          int
	epoch           uint32
	known           bool
	lastReceivedSeq uint32        // of its last message
	lastSentSeq     uint32        // of the last to it
	dueAt           time.Duration // of what is to be told
	pacedUntil      time.Duration // when the pace allows the next message
	queued          bool          // something is to be told
}

func hashOf(name string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return h.Sum32()
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

// peer finds or starts what is remembered of a gateway.
func (g *Controller) peer(number int) *peer {
	p := g.peers[number]
	if p == nil {
		p = &peer{number: number, pacedUntil: math.MinInt64}
		g.peers[number] = p
	}
	return p
}

// mostCommon returns the least of the largest group of values that lie within
// the same width, and how many these are.
func mostCommon(values []time.Duration, width time.Duration) (time.Duration, int) {
	sorted := slices.Sorted(slices.Values(values))
	best, most, from := time.Duration(0), 0, 0
	for i, v := range sorted {
		for v-sorted[from] > width {
			from++
		}
		if i-from+1 > most {
			best, most = sorted[from], i-from+1
		}
	}
	return best, most
}

// unresponsiveSince tells whether a backend has answered nobody since it was sent a request. Trouble: in a large tier
// this gateway has no other request there that could be answered, and what just took long was called off.
func (b *backend) unresponsiveSince(r *request) bool {
	return b.lastResponseAt <= r.sentAt && (b.observedAt <= r.sentAt || b.failureRate >= failBack)
}

func (g *Controller) emit(a Action) { g.actions = append(g.actions, a) }

// measureMedianLatency is what an ordinary backend shows.
func (g *Controller) measureMedianLatency() float64 {
	if len(g.backends) == 0 {
		return 1
	}
	slopes := make([]float64, 0, len(g.backends))
	for _, b := range g.backends {
		slopes = append(slopes, b.latencyPerAttempt)
	}
	slices.Sort(slopes)
	return slopes[len(slopes)/2]
}

// mergeEndpoints brings the list of backends up to date and returns those that started.
// A backend that started again has its attempts still out, but no past.
func (g *Controller) mergeEndpoints(ev *EndpointList) []*backend {
	if ev.Kind != ListDelta {
		for _, b := range g.backendsByID {
			b.State, b.unavailable = Removed, true // until it is named
			if b.removedAt == 0 {
				b.removedAt = g.now
			}
		}
	}
	var started []*backend
	for _, e := range ev.Backends {
		b := g.backendsByID[e.ID]
		if b == nil || b.StartedAt != e.StartedAt && e.State == Live {
			old := b
			b = &backend{relativeLoad: 1, gossipKey: gossip.BackendKey(hashOf(e.ID))}
			if old != nil {
				b.open = old.open
				for _, r := range b.open {
					r.backend = b
				}
			}
			g.backendsByID[e.ID] = b
			started = append(started, b)
		}
		if b.Backend, b.unavailable = e, e.State != Live; e.State != Removed {
			b.removedAt = 0
		} else if b.removedAt == 0 {
			b.removedAt = g.now
		}
	}
	clear(g.backends) // what stood beyond the new end must not be kept
	g.backends = g.backends[:0]
	clear(g.backendsByGossipKey)
	for id, b := range g.backendsByID {
		if !b.unavailable {
			g.backends = append(g.backends, b)
		} else if len(b.open) == 0 && b.removedAt > 0 && g.now-b.removedAt > g.forgetAfter {
			delete(g.backendsByID, id) // a lost one may come back as it was, but most are replaced under new ids
		}
	}
	slices.SortFunc(g.backends, func(a, b *backend) int { return cmp.Compare(a.ID, b.ID) })
	if g.subsetSize() < len(g.backends) {
		// By rendezvous: when the list changes, each gateway's order hardly does, and backends
		// share the gateways out evenly.
		slices.SortStableFunc(g.backends, func(a, b *backend) int { return cmp.Compare(g.rendezvousRank(a), g.rendezvousRank(b)) })
	}
	for _, b := range g.backends {
		if _, twice := g.backendsByGossipKey[b.gossipKey]; twice { // what is told of one would be taken for the other
			g.backendsByGossipKey[b.gossipKey] = nil
			continue
		}
		g.backendsByGossipKey[b.gossipKey] = b
	}
	return started
}

// rendezvousRank is where a backend stands in this gateway's own order of all.
func (g *Controller) rendezvousRank(b *backend) uint64 {
	return quota.Mix64(uint64(hashOf(b.ID))<<32 | uint64(uint32(g.settings.Self)))
}

// subsetSize is how many backends this gateway keeps to, if that is less than all.
func (g *Controller) subsetSize() int {
	return max(int(math.Ceil(keepTier*float64(len(g.backends))/float64(g.settings.Limiters))), keepLeast)
}

// limitersPerBackend is how many gateways keep to a backend.
func (g *Controller) limitersPerBackend() float64 {
	return float64(g.settings.Limiters) * min(float64(g.subsetSize())/float64(max(len(g.backends), 1)), 1)
}

// usableSubset is how many of the backends, from the first on, hold as many of use as this gateway keeps to, and
// what those bear, in warm ones. Where many are cold it takes more.
func (g *Controller) usableSubset() (n int, warm float64) {
	usable, most := 0, g.subsetSize()
	for n < len(g.backends) && (usable < most || warm < coldFleet*float64(most)) {
		if b := g.backends[n]; !b.ejected() {
			usable++
			warm += g.warmUpFraction(b)
		}
		n++
	}
	return n, warm
}

// ejected tells whether a backend is trusted with no more than trials.
func (b *backend) ejected() bool { return b.ejectedUntil > 0 }

// recoveryDue tells whether an ejected backend is to be tried now, and by this gateway.
func (g *Controller) recoveryDue(b *backend) bool {
	return b.ejected() && g.now >= b.ejectedUntil && g.now < g.recoveryUntil
}

// recoveryLeased tells whether one gateway tries ejected backends for all.
func (g *Controller) recoveryLeased() bool { return g.recoveryUntil != math.MaxInt64 }

// countUsable counts the backends that are not ejected and what is out at them.
func (g *Controller) countUsable() (backends, open int) {
	for _, b := range g.backends {
		if !b.ejected() {
			backends++
			open += len(b.open)
		}
	}
	return backends, open
}

// normalize scales shares to sum to one.
func normalize(shares []float64) []float64 {
	sum := 0.0
	for _, v := range shares {
		sum += v
	}
	for i := range shares {
		shares[i] /= sum
	}
	return shares
}

// meanCapacity is the mean of the sizes that the list tells.
func (g *Controller) meanCapacity() float64 {
	sum := 0.0
	for _, b := range g.backends {
		sum += b.RelativeCapacity
	}
	return sum / float64(max(len(g.backends), 1))
}

// wakeBy sees to it that a beat comes at a time. There is no other clock: what is
// idle costs nothing, in a large fleet most of all.
func (g *Controller) wakeBy(at time.Duration) { g.nextDueAt = min(g.nextDueAt, at) }

func (g *Controller) queueMessage(p *peer, wait float64) {
	at := g.now + seconds(wait*g.shortestObjective.Seconds())
	if !p.queued {
		p.queued, p.dueAt = true, at
		g.queuedPeers = append(g.queuedPeers, p)
	}
	p.dueAt = min(p.dueAt, at)
	g.wakeBy(max(p.dueAt, p.pacedUntil))
}

// newsPauses is how many pauses of the pace pass, in a large tier, after any message until one goes that
// carries nothing but news: most news rides on messages that go anyway, and for the rest alone each message
// is paid for. 36 limiters sent 3.2 messages for each request, four in ten of them with news alone, and as
// much came in time with 2.1.
const newsPauses = 6

// A failure share that is this far from what was told last is news that others must know at once, and
// for alarmAims longest aims all of the pace is for it.
const alarmFails, alarmAims = 0.25, 0.3

// announce has a sight passed on.
func (g *Controller) announce(b *backend, at time.Duration) {
	b.observedAt = at
	if math.Abs(b.failureRate-b.announcedFailureRate) > alarmFails {
		b.announcedFailureRate = b.failureRate
		g.urgentUntil = g.now + seconds(alarmAims*g.longestObjective.Seconds())
	}
	if b.gossipRepeats == 0 {
		g.pendingObservations = append(g.pendingObservations, b)
		g.announceToPeers()
	}
	b.gossipRepeats = tellSights
}

// recordCompletion books a request's latency against its class's aim.
func (g *Controller) recordCompletion(r *request) {
	r.class.completed++
	r.class.latencySum += min((g.now - r.receivedAt).Seconds(), spikeMost*r.class.LatencyObjective.Seconds())
}

// chargeCredit books one dispatch of a class against its share.
func (g *Controller) chargeCredit(c *requestClass) {
	sum := 0.0
	for _, o := range g.classes {
		if len(o.queue) > 0 || o == c {
			sum += o.share
		}
	}
	for _, o := range g.classes {
		if len(o.queue) > 0 || o == c {
			o.credit = min(o.credit+o.share/sum, creditMost)
		}
	}
	c.credit = max(c.credit-1, -creditMost)
}

// takeObservations are the latest of what is known of backends, at most some of them.
func (g *Controller) takeObservations(most int) []gossip.Observation {
	var list []gossip.Observation
	for i := len(g.pendingObservations) - 1; i >= 0 && len(list) < most; i-- {
		b := g.pendingObservations[i]
		age := (g.now - b.observedAt).Seconds() / g.shortestObjective.Seconds() * sightSteps
		known := age <= math.MaxUint8 && !b.unavailable
		if b.gossipRepeats--; b.gossipRepeats <= 0 || !known {
			b.gossipRepeats = 0
			g.pendingObservations = slices.Delete(g.pendingObservations, i, i+1)
		}
		if known {
			list = append(list, gossip.Observation{
				Backend: b.gossipKey, Age: uint8(age), FailureRate: uint8(b.failureRate * math.MaxUint8),
				Load: uint8(min(max(128+16*math.Log2(max(b.relativeLoad, 1e-3)), 0), math.MaxUint8)),
			})
		}
	}
	return list
}

// parseLoadReport picks out of a load report what a backend holds, how long that takes and how busy it
// is; below zero what is not told, or nothing if the report makes no sense.
func parseLoadReport(fields []string, values []float64) (held, each, busy float64, ok bool) {
	held, each, busy = -1, -1, -1
	for i, v := range values[:min(len(values), len(fields))] {
		if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return -1, -1, -1, false
		}
		switch fields[i] {
		case "inflight", "queue":
			held = max(held, v)
		case "latency_ms":
			each = v
		case "util":
			busy = v
		}
	}
	return held, each, busy, held >= 0 || each >= 0 || busy >= 0
}

// recordBudget remembers a try's budget, and once there are enough new ones which is the usual one: the
// commonest, if a part of them is the same.
func (c *requestClass) recordBudget(v, same time.Duration, part float64) {
	c.recentBudgets[c.budgetsSeen%len(c.recentBudgets)] = v
	if c.budgetsSeen++; c.budgetsSeen%len(c.recentBudgets) == 0 {
		usual, n := mostCommon(c.recentBudgets[:], same)
		if c.usualBudget = usual; float64(n) < part*float64(len(c.recentBudgets)) {
			c.usualBudget = 0
		}
	}
}

// waitingCustomers lists the customers with requests that still wait for a word, and forgets the rest.
func (g *Controller) waitingCustomers() []*customer {
	g.customersWaiting = slices.DeleteFunc(g.customersWaiting, func(c *customer) bool {
		c.waiting = slices.DeleteFunc(c.waiting, func(r *request) bool { return r.ended })
		c.waitsForGrant = len(c.waiting) > 0
		return !c.waitsForGrant
	})
	return slices.Clone(g.customersWaiting)
}

// rejectionKind is what a backend may turn away apart from the rest: a class of a plan.
func (g *Controller) rejectionKind(r *request) int {
	return r.customer.planIndex*len(g.classes) + slices.Index(g.classes, r.class)
}

// freshness is how much of what was seen of a backend still counts.
func (g *Controller) freshness(b *backend) float64 {
	return math.Exp(-(g.now - b.lastResponseAt).Seconds() / (memoryAims * g.memorySeconds))
}

// receiveMessage reads a peer's message, if it makes sense and is newer than the last from there.
func (g *Controller) receiveMessage(ev *PeerMessage) (m gossip.Message, p *peer, ok bool) {
	m, ok = gossip.Parse(ev.Data)
	if !ok || ev.From < 0 || ev.From >= g.settings.Limiters || ev.From == g.settings.Self {
		return m, nil, false
	}
	p = g.peer(ev.From)
	if p.known && p.epoch == m.Epoch && int32(m.Seq-p.lastReceivedSeq) <= 0 {
		return m, p, false
	}
	if !g.ledger.ObservePeer(p.number, m.Epoch, m.ReceiverEpoch == g.settings.Epoch, m.ServingAge, g.servingAge(), g.now) {
		return m, p, false
	}
	if !p.known || p.epoch != m.Epoch {
		g.queueMessage(p, 0) // it wants to know that it is known
	}
	p.known, p.epoch, p.lastReceivedSeq = true, m.Epoch, m.Seq
	return m, p, true
}

// startAt books an attempt of a request at a backend.
func (r *request) startAt(b *backend, now time.Duration) {
	r.customer.inFlight++
	b.open = append(b.open, r)
	r.backend, r.sentAt, r.openAtSend, r.canceled, r.ageRecorded = b, now, len(b.open), false, false
	r.attempted = append(r.attempted, b)
	r.attempts++
}

// finishAttempt books the end of a request's attempt.
func (r *request) finishAttempt() *backend {
	b := r.backend
	r.backend = nil
	b.open = slices.DeleteFunc(b.open, func(o *request) bool { return o == r })
	r.customer.inFlight--
	return b
}

// avoidKind leaves a backend alone with one kind of request for a while.
func (b *backend) avoidKind(kind int, until time.Duration) {
	if b.rejectedUntil == nil {
		b.rejectedUntil = map[int]time.Duration{}
	}
	b.rejectedUntil[kind] = until
}

// recordLatency takes a latency into the running ones.
func (c *requestClass) recordLatency(x, most, weight float64) {
	if c.meanLatency == 0 {
		c.meanLatency, c.meanSquaredLatency = x, x*x
	}
	c.latencySamples++
	x = min(x, most*c.meanLatency)
	c.meanLatency += weight * (x - c.meanLatency)
	c.meanSquaredLatency += weight * (x*x - c.meanSquaredLatency)
}

// start starts the ledger and lets the others know of this start.
func (g *Controller) start() {
	if g.settings.Epoch == 0 {
		g.settings.Epoch = uint32(g.now/time.Millisecond) + 1
	}
	g.nextControlAt = g.now + seconds(g.controlPeriod)
	g.wakeBy(g.nextControlAt)
	g.ledger = quota.New(g.quotaConfig(), g.now)
	if !slices.Contains(g.settings.LoadReportFields, "util") {
		g.ledger.Resolve(quota.TierStarted, g.now) // nothing will ever tell
	}
	g.announceToPeers()
}

// quotaConfig words the settings for the ledger.
func (g *Controller) quotaConfig() quota.Config {
	c := quota.Config{Self: g.settings.Self, Limiters: g.settings.Limiters, Gossips: g.gossips(), Epoch: g.settings.Epoch}
	for _, p := range g.settings.Plans {
		c.Plans = append(c.Plans, quota.Plan{
			Quota: quota.Bucket{Rate: p.Rate, Burst: p.Burst}, Ceiling: quota.Bucket{Rate: p.CeilingRate, Burst: p.CeilingBurst},
			Slots: p.MaxConcurrent, LeastProbability: leastAdmissionProbability(p),
		})
	}
	c.Plans = append(c.Plans, quota.Plan{}) // of a plan that the settings do not have
	return c
}

// RejectionCounts counts the requests that a Gateway ended without an answer of a backend, by cause.
type RejectionCounts struct {
	OverQuota        uint64 `json:"beyond"` // beyond the quota, as far as was known
	WindowFull       uint64 `json:"full"`   // the window was full and the wait too long
	QueueTimeout     uint64 `json:"held"`   // held for room until no answer could be in time
	RetriesExhausted uint64 `json:"tried"`  // sent, and not to be sent again
}

// Rejections counts what this gateway turned away.
func (g *Controller) Rejections() RejectionCounts { return g.rejections }

// AvoidsBackend tells whether a backend is left alone now but for trials.
func (g *Controller) AvoidsBackend(id string) bool {
	b := g.backendsByID[id]
	return b == nil || b.unavailable || b.ejected()
}

// QuotaCounters counts what became of rights on customers' stores.
func (g *Controller) QuotaCounters() quota.Counters {
	if g.ledger == nil {
		return quota.Counters{}
	}
	return g.ledger.Counters(g.now)
}

// gossips tells whether there is anyone to tell anything.
func (g *Controller) gossips() bool {
	return g.settings.GossipEnabled && g.settings.PeerMessagesPerSecond > 0 && g.settings.Limiters > 1
}

// announceToPeers has some other gateways told what is new here, in a large tier as many as fill the pace.
func (g *Controller) announceToPeers() {
	if !g.gossips() {
		return
	}
	n := g.settings.Limiters - 1
	from := 0
	if n > tellSenders {
		from = g.random.IntN(n)
	}
	for i := range min(n, tellSenders) {
		g.queueMessage(g.peer((g.settings.Self+1+(from+i)%n)%g.settings.Limiters), newsWait)
	}
}

// servingAge is how long requests have been coming, in quarters of a second.
func (g *Controller) servingAge() uint8 {
	switch {
	case g.leaving:
		return gossip.LeavingAge
	case g.firstRequestAt == 0:
		return 0
	}
	return uint8(min((g.now-g.firstRequestAt)/(250*time.Millisecond), gossip.LeavingAge-1))
}

// lookupCustomer finds the record of a request's customer or starts one.
func (g *Controller) lookupCustomer(ev *Request) *customer {
	key := customerKey{ev.Customer, ev.Plan}
	c := g.customers[key]
	if c == nil {
		number, listed := g.planIndex[ev.Plan]
		c = &customer{name: ev.Customer, plan: &Plan{Name: ev.Plan}, planIndex: len(g.settings.Plans)}
		if listed {
			c.plan, c.planIndex = &g.settings.Plans[number], number
		}
		c.setSize = min(max(ev.SetSize, 1), g.settings.Limiters)
		c.firstLimiter = (ev.FirstLimiter%g.settings.Limiters + g.settings.Limiters) % g.settings.Limiters
		c.account = g.ledger.Account(hashOf(ev.Customer), c.planIndex, c.firstLimiter, c.setSize, g.now)
		g.customers[key] = c
		g.customerOrder = append(g.customerOrder, c)
	}
	return c
}

// syncSlots tells the ledger how many of a customer's places are in use here.
func (g *Controller) syncSlots(c *customer) {
	c.account.SlotsInUse = c.inFlight + c.queued
}

// forgetIdleCustomers forgets customers that nobody asked for in a while, once nothing is lost by it.
func (g *Controller) forgetIdleCustomers() {
	g.ledger.Sweep(seconds(forgetAims*g.longestObjective.Seconds()), g.now)
	g.customerOrder = slices.DeleteFunc(g.customerOrder, func(c *customer) bool {
		if c.account.Forgotten {
			delete(g.customers, customerKey{c.name, c.plan.Name})
		}
		return c.account.Forgotten
	})
}

// sendQueuedMessages sends what is to be told and due, to each peer at its pace.
func (g *Controller) sendQueuedMessages() {
	for _, who := range g.ledger.TakeReadyPeers() {
		g.queueMessage(g.peer(who), 0)
	}
	for i := 0; i < len(g.queuedPeers); i++ {
		p := g.queuedPeers[i]
		if g.now < max(p.dueAt, p.pacedUntil) || !g.takeMessagePace(p) {
			continue
		}
		p.pacedUntil = max(p.pacedUntil, g.now-tellBurst*g.peerMessageInterval) + g.peerMessageInterval
		more := g.sendPeerMessage(p)
		p.queued = false
		g.queuedPeers = slices.Delete(g.queuedPeers, i, i+1)
		i--
		if more {
			g.queueMessage(p, 0)
		}
	}
}

// takeMessagePace tells whether the pace of messages allows one to a peer, and takes it. An answer goes in any case,
// as there are no more of them than asks come in, and takes nothing of the asks' pace: a busy home's own asks
// waited behind its answers until their requests were refused. What only carries news waits until all is there
// that may be saved up of the pace of all messages: it would crowd out rights that move, here and at the peer.
func (g *Controller) takeMessagePace(p *peer) bool {
	if g.messageInterval == 0 {
		return true
	}
	saved := 2 * tellBurst * g.messageInterval
	at, answers := g.transferRequestsPacedUntil, g.ledger.HasGrantsFor(p.number)
	if !answers && !g.ledger.HasRequestsFor(p.number) {
		at = max(at, g.messagesPacedUntil) + saved
		if g.now >= g.urgentUntil { // nothing that others must know at once
			at = max(at, g.nextObservationsAt)
		}
	}
	if g.now < at && !answers {
		g.wakeBy(at)
		return false
	}
	g.messagesPacedUntil = max(g.messagesPacedUntil, g.now-saved) + g.messageInterval
	g.nextObservationsAt = g.now + newsPauses*g.messageInterval
	if !answers {
		g.transferRequestsPacedUntil = max(g.transferRequestsPacedUntil, g.now-saved) + g.messageInterval
	}
	return true
}

// sendPeerMessage sends a peer what it is to be told, as much as fits, and tells whether there is more.
func (g *Controller) sendPeerMessage(p *peer) (more bool) {
	p.lastSentSeq++
	m := gossip.Message{
		Epoch: g.settings.Epoch, ReceiverEpoch: p.epoch, Seq: p.lastSentSeq, Pressure: uint8(min(g.upstreamPressure*64, math.MaxUint8)), ServingAge: g.servingAge(),
	}
	m.Requests, m.Grants, more = g.ledger.Compose(p.number, g.now)
	m.Observations = g.takeObservations(gossip.MaxObservations)
	g.emit(SendToPeer{Peer: p.number, Data: m.Append(nil)})
	return more
}

// clampShare keeps a share within the design's bounds.
func clampShare(share float64) float64 { return min(max(share, shareLeast), 1) }

// expectedLatency is what an attempt takes, by the answers that there were, and at first rather the part of the aim.
// Trouble: in a tier of 300 the first answer, in three of ten cases of a third of the mean, was for long what all
// others were held against.
func (c *requestClass) expectedLatency() float64 {
	n := float64(c.latencySamples)
	return (n*c.meanLatency + strainLook*max(c.backendTarget(), c.meanLatency)) / (n + strainLook)
}

// exceedsTarget tells whether answers take longer than the part of the aim meant for the backend.
func (c *requestClass) exceedsTarget() bool { return c.meanLatency > c.backendTarget() }

// IsLastOwner tells whether, with some other gateways out, this one is the last that holds some customer's
// stores.
func (g *Controller) IsLastOwner(out []int) bool { return g.ledger.IsLastOwner(out) }

// OwnersOf gives the gateways that hold a customer's stores, of a set of some size in a row from first:
// the same at every gateway.
func OwnersOf(customer string, first, size, gateways int) []int {
	return quota.OwnersOf(hashOf(customer), first, size, gateways)
}
