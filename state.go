package lemongate

import (
	"cmp"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"lemongate/internal/peermsg"
	"lemongate/internal/quota"
)

// This file holds what a Gateway remembers, and nothing that decides.

// newState returns a Gateway with what the settings say and nothing more.
func newState(set Settings, seed uint64) *Gateway {
	g := &Gateway{
		set: set, rng: rand.New(rand.NewPCG(seed, 0)), peers: map[int]*peer{}, byName: map[string]*class{},
		plans: map[string]int{}, requests: map[RequestID]*request{}, known: map[string]*backend{},
		byKey: map[uint32]*backend{}, customers: map[customerKey]*customer{}, tryUntil: math.MaxInt64,
	}
	g.set.Gateways = max(set.Gateways, 1)
	for _, c := range set.Classes {
		c.Aim = cmp.Or(max(c.Aim, 0), max(c.Deadline, 0), time.Second)
		x := &class{Class: c, share: 1 / float64(len(set.Classes))}
		g.classes = append(g.classes, x)
		g.byName[c.Name] = x
		g.aimLong = max(g.aimLong, c.Aim)
		g.aimShort = min(cmp.Or(g.aimShort, c.Aim), c.Aim)
		g.meanAim += c.Aim.Seconds() / float64(len(set.Classes))
	}
	g.aimShort, g.aimLong = cmp.Or(g.aimShort, time.Second), cmp.Or(g.aimLong, time.Second)
	g.preferred = slices.Clone(g.classes)
	for i := range set.Plans {
		g.plans[set.Plans[i].Name] = i
	}
	return g
}

// A Gateway makes the decisions of one front door.
type Gateway struct {
	set     Settings   `json:"-"`
	rng     *rand.Rand `json:"-"`
	now     time.Duration
	out     []Action `json:"-"`
	running bool

	classes   []*class               // as in the settings
	byName    map[string]*class      `json:"-"`
	preferred []*class               `json:"-"` // the same, by falling worth
	plans     map[string]int         `json:"-"`
	requests  map[RequestID]*request `json:"-"`
	retries   []*request             `json:"-"` // waiting for a backend that their next attempt may use

	backends []*backend `json:"-"` // listed and live; in a large tier those first that this gateway keeps to
	known    map[string]*backend

	byKey    map[uint32]*backend `json:"-"` // listed and live, by what peers call them
	news     []*backend          `json:"-"` // seen of late and not yet told often enough
	meanLoad float64             // of the load reports seen here

	ledger    *quota.Ledger             // what is held here of the customers' stores
	customers map[customerKey]*customer `json:"-"`
	order     []*customer               // as first met
	asking    []*customer               `json:"-"` // whose requests wait for the others' word
	first     time.Duration             // when the first request came
	left      bool                      // this gateway leaves
	starting  []float64                 // how busy backends were when they were first heard of
	peers     map[int]*peer
	gap       time.Duration `json:"-"` // between messages to one peer
	telling   []*peer       `json:"-"` // something is to be told there
	pause     time.Duration `json:"-"` // between any two messages, in a tier where no limiter has but a few peers
	paced     time.Duration // when that allows the next ask
	pacedAll  time.Duration // and when all messages, answers too, allow the next news
	nextNews  time.Duration // when what only carries news may go, in a large tier
	alarm     time.Duration // until when all of the pace is for news: a backend fails or recovers
	probes    saved         // probes that may go
	turned    Turned

	aimShort, aimLong time.Duration `json:"-"`
	nextPeriod        time.Duration
	wakeAt, dueAt     time.Duration `json:"-"` // the timer set, and when something is due
	carry             saved         // attempts, while the window is under one
	cold              saved         // attempts at a wholly cold choice
	scale             float64       // of the window
	strain            float64       // what attempts take, in their part of the aim
	quotas            float64       // requests a second that the customers served here may send
	meanAim           float64       `json:"-"`
	period            float64       `json:"-"` // seconds of a control period
	memory            float64       `json:"-"` // seconds over which rates are seen
	forget            time.Duration `json:"-"` // gone backends go after this
	typical           float64       // median slope of the backends
	bound             bool          // the window was full at some time in this period
	retryTokens       float64
	retryMost         float64 `json:"-"` // saved up at most
	sendRate          decayed // first and further attempts
	watch             bool    // the list must be asked for

	tryUntil time.Duration `json:"-"` // ejected backends may be tried until then; see Trials
}

type class struct {
	Class
	queue  []*request `json:"-"`
	share  float64
	credit float64

	budgets           [16]time.Duration // of late, a ring
	asked             int
	usual             time.Duration // the commonest of them
	arrivals, ended   int           // this period
	latency           float64       // this period's sum over ended, hold included
	served            int           // this period
	work              float64       // this period's sum over served, hold excluded
	rate, mean, mean2 float64       // arrivals a second; attempt latency and its square
	answers           int           // that these come from
	idle              float64       // the least mean of late
}

type request struct {
	*Request
	class    *class
	customer *customer
	came     time.Duration
	limit    time.Duration // an answer after this is worth little
	deadline time.Duration
	attempts int
	at       *backend // where an attempt is out
	sent     time.Duration
	depth    int // attempts out there when it was sent, itself included
	maybe    *backend
	maybeAt  time.Duration // send of the first attempt that may have run
	tried    []*backend
	held     bool
	over     bool
	stream   bool
	called   bool // its attempt has been called off
	saved    bool // and what the next one costs is put by
	aged     bool // its attempt counted by its age already
}

type backend struct {
	Backend
	open    []*request `json:"-"` // attempts out, oldest first
	slope   float64    // latency per attempt out, in class means
	answers float64    // that tell it, faded
	seen    time.Duration
	fails   float64 // share of failures
	until   time.Duration
	doubts  int                   // ejections in a row
	turned  map[int]time.Duration // kinds of request turned away; left alone until then
	gone    bool
	left    time.Duration // when it went, 0 while it is listed

	key   uint32        // what peers call it
	load  float64       // against its fellows, as anyone saw it last
	heard time.Duration // when that was
	told  int           // times still to be told

	toldFails float64 // as it was when others had to know at once

	reported bool // how busy it was at first is known
}

// A customerKey names a customer on a plan. A name may come with another plan, as after a change of
// it; what a request is judged by is the plan that it names.
type customerKey struct{ name, plan string }

type customer struct {
	name    string
	plan    *Plan          `json:"-"`
	number  int            // of the plan
	first   int            // of its set
	size    int            // of its set
	account *quota.Account `json:"-"`
	seen    time.Duration
	units   float64 // running mean of a request's

	open, held int        `json:"-"`
	waits      bool       `json:"-"` // requests wait for the others' word
	asks       []*request `json:"-"` // these, in order
}

type peer struct {
	number int
	epoch  uint32
	known  bool
	seq    uint32        // of its last message
	sent   uint32        // of the last to it
	due    time.Duration // of what is to be told
	paced  time.Duration // when the pace allows the next message
	waits  bool          // something is to be told
}

// decayed is a rate a second with exponential forgetting.
type decayed struct {
	rate float64
	at   time.Duration
}

func (d *decayed) add(now time.Duration, amount, memory float64) {
	d.rate = d.value(now, memory) + amount/memory
	d.at = now
}

func (d *decayed) value(now time.Duration, memory float64) float64 {
	return d.rate * math.Exp(-(now-d.at).Seconds()/memory)
}

func hashOf(name string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return h.Sum32()
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

// peer finds or starts what is remembered of a gateway.
func (g *Gateway) peer(number int) *peer {
	p := g.peers[number]
	if p == nil {
		p = &peer{number: number, paced: math.MinInt64}
		g.peers[number] = p
	}
	return p
}

// commonest returns the least of the largest group of values that lie within
// the same width, and how many these are.
func commonest(values []time.Duration, width time.Duration) (time.Duration, int) {
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

// silent tells whether a backend has answered nobody since it was sent a request. Trouble: in a large tier
// this gateway has no other request there that could be answered, and what just took long was called off.
func (b *backend) silent(r *request) bool {
	return b.seen <= r.sent && (b.heard <= r.sent || b.fails >= failBack)
}

func (g *Gateway) do(a Action) { g.out = append(g.out, a) }

// medianSlope is what an ordinary backend shows.
func (g *Gateway) medianSlope() float64 {
	if len(g.backends) == 0 {
		return 1
	}
	slopes := make([]float64, 0, len(g.backends))
	for _, b := range g.backends {
		slopes = append(slopes, b.slope)
	}
	slices.Sort(slopes)
	return slopes[len(slopes)/2]
}

// merge brings the list of backends up to date and returns those that started.
// A backend that started again has its attempts still out, but no past.
func (g *Gateway) merge(ev *List) []*backend {
	if ev.Kind != ListChanges {
		for _, b := range g.known {
			b.State, b.gone = Dead, true // until it is named
			if b.left == 0 {
				b.left = g.now
			}
		}
	}
	var started []*backend
	for _, e := range ev.Backends {
		b := g.known[e.ID]
		if b == nil || b.Started != e.Started && e.State == Live {
			old := b
			b = &backend{load: 1, key: peermsg.Key(hashOf(e.ID))}
			if old != nil {
				b.open = old.open
				for _, r := range b.open {
					r.at = b
				}
			}
			g.known[e.ID] = b
			started = append(started, b)
		}
		if b.Backend, b.gone = e, e.State != Live; e.State != Dead {
			b.left = 0
		} else if b.left == 0 {
			b.left = g.now
		}
	}
	clear(g.backends) // what stood beyond the new end must not be kept
	g.backends = g.backends[:0]
	clear(g.byKey)
	for id, b := range g.known {
		if !b.gone {
			g.backends = append(g.backends, b)
		} else if len(b.open) == 0 && b.left > 0 && g.now-b.left > g.forget {
			delete(g.known, id) // a lost one may come back as it was, but most are replaced under new ids
		}
	}
	slices.SortFunc(g.backends, func(a, b *backend) int { return cmp.Compare(a.ID, b.ID) })
	if g.keeps() < len(g.backends) {
		// By rendezvous: when the list changes, each gateway's order hardly does, and backends
		// share the gateways out evenly.
		slices.SortStableFunc(g.backends, func(a, b *backend) int { return cmp.Compare(g.place(a), g.place(b)) })
	}
	for _, b := range g.backends {
		if _, twice := g.byKey[b.key]; twice { // what is told of one would be taken for the other
			g.byKey[b.key] = nil
			continue
		}
		g.byKey[b.key] = b
	}
	return started
}

// place is where a backend stands in this gateway's own order of all.
func (g *Gateway) place(b *backend) uint64 {
	return quota.Mix(uint64(hashOf(b.ID))<<32 | uint64(uint32(g.set.Self)))
}

// keeps is how many backends this gateway keeps to, if that is less than all.
func (g *Gateway) keeps() int {
	return max(int(math.Ceil(keepTier*float64(len(g.backends))/float64(g.set.Gateways))), keepLeast)
}

// sharers is how many gateways keep to a backend.
func (g *Gateway) sharers() float64 {
	return float64(g.set.Gateways) * min(float64(g.keeps())/float64(max(len(g.backends), 1)), 1)
}

// near is how many of the backends, from the first on, hold as many of use as this gateway keeps to, and
// what those bear, in warm ones. Where many are cold it takes more.
func (g *Gateway) near() (n int, warm float64) {
	usable, most := 0, g.keeps()
	for n < len(g.backends) && (usable < most || warm < coldFleet*float64(most)) {
		if b := g.backends[n]; !b.ejected() {
			usable++
			warm += g.warmth(b)
		}
		n++
	}
	return n, warm
}

// ejected tells whether a backend is trusted with no more than trials.
func (b *backend) ejected() bool { return b.until > 0 }

// due tells whether an ejected backend is to be tried now, and by this gateway.
func (g *Gateway) due(b *backend) bool { return b.ejected() && g.now >= b.until && g.now < g.tryUntil }

// alone tells whether one gateway tries ejected backends for all.
func (g *Gateway) alone() bool { return g.tryUntil != math.MaxInt64 }

// trusted counts the backends that are not ejected and what is out at them.
func (g *Gateway) trusted() (backends, open int) {
	for _, b := range g.backends {
		if !b.ejected() {
			backends++
			open += len(b.open)
		}
	}
	return backends, open
}

// normalise scales shares to sum to one.
func normalise(shares []float64) []float64 {
	sum := 0.0
	for _, v := range shares {
		sum += v
	}
	for i := range shares {
		shares[i] /= sum
	}
	return shares
}

// meanSize is the mean of the sizes that the list tells.
func (g *Gateway) meanSize() float64 {
	sum := 0.0
	for _, b := range g.backends {
		sum += b.Size
	}
	return sum / float64(max(len(g.backends), 1))
}

// by sees to it that a beat comes at a time. There is no other clock: what is
// idle costs nothing, in a large fleet most of all.
func (g *Gateway) by(at time.Duration) { g.dueAt = min(g.dueAt, at) }

func (g *Gateway) queue(p *peer, wait float64) {
	at := g.now + seconds(wait*g.aimShort.Seconds())
	if !p.waits {
		p.waits, p.due = true, at
		g.telling = append(g.telling, p)
	}
	p.due = min(p.due, at)
	g.by(max(p.due, p.paced))
}

// newsPauses is how many pauses of the pace pass, in a large tier, after any message until one goes that
// carries nothing but news: most news rides on messages that go anyway, and for the rest alone each message
// is paid for. 36 limiters sent 3.2 messages for each request, four in ten of them with news alone, and as
// much came in time with 2.1.
const newsPauses = 6

// A failure share that is this far from what was told last is news that others must know at once, and
// for alarmAims longest aims all of the pace is for it.
const alarmFails, alarmAims = 0.25, 0.3

// spread has a sight passed on.
func (g *Gateway) spread(b *backend, at time.Duration) {
	b.heard = at
	if math.Abs(b.fails-b.toldFails) > alarmFails {
		b.toldFails = b.fails
		g.alarm = g.now + seconds(alarmAims*g.aimLong.Seconds())
	}
	if b.told == 0 {
		g.news = append(g.news, b)
		g.greet()
	}
	b.told = tellSights
}

// finished books a request's latency against its class's aim.
func (g *Gateway) finished(r *request) {
	r.class.ended++
	r.class.latency += min((g.now - r.came).Seconds(), spikeMost*r.class.Aim.Seconds())
}

// turn books one dispatch of a class against its share.
func (g *Gateway) turn(c *class) {
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

// sights are the latest of what is known of backends, at most some of them.
func (g *Gateway) sights(most int) []peermsg.Sight {
	var list []peermsg.Sight
	for i := len(g.news) - 1; i >= 0 && len(list) < most; i-- {
		b := g.news[i]
		age := (g.now - b.heard).Seconds() / g.aimShort.Seconds() * sightSteps
		known := age <= math.MaxUint8 && !b.gone
		if b.told--; b.told <= 0 || !known {
			b.told = 0
			g.news = slices.Delete(g.news, i, i+1)
		}
		if known {
			list = append(list, peermsg.Sight{
				Backend: b.key, Age: uint8(age), Fails: uint8(b.fails * math.MaxUint8),
				Load: uint8(min(max(128+16*math.Log2(max(b.load, 1e-3)), 0), math.MaxUint8)),
			})
		}
	}
	return list
}

// readReport picks out of a load report what a backend holds, how long that takes and how busy it
// is; below zero what is not told, or nothing if the report makes no sense.
func readReport(fields []string, values []float64) (held, each, busy float64, ok bool) {
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

// saved is an amount that grows at a rate, to one at most.
type saved struct {
	amount float64
	at     time.Duration
}

func (s *saved) grow(now time.Duration, rate float64) float64 {
	s.amount = min(s.amount+(now-s.at).Seconds()*rate, 1)
	s.at = now
	return s.amount
}

// budget remembers a try's budget, and once there are enough new ones which is the usual one: the
// commonest, if a part of them is the same.
func (c *class) budget(v, same time.Duration, part float64) {
	c.budgets[c.asked%len(c.budgets)] = v
	if c.asked++; c.asked%len(c.budgets) == 0 {
		usual, n := commonest(c.budgets[:], same)
		if c.usual = usual; float64(n) < part*float64(len(c.budgets)) {
			c.usual = 0
		}
	}
}

// waits lists the customers with requests that still wait for a word, and forgets the rest.
func (g *Gateway) waits() []*customer {
	g.asking = slices.DeleteFunc(g.asking, func(c *customer) bool {
		c.asks = slices.DeleteFunc(c.asks, func(r *request) bool { return r.over })
		c.waits = len(c.asks) > 0
		return !c.waits
	})
	return slices.Clone(g.asking)
}

// kind is what a backend may turn away apart from the rest: a class of a plan.
func (g *Gateway) kind(r *request) int {
	return r.customer.number*len(g.classes) + slices.Index(g.classes, r.class)
}

// fade is how much of what was seen of a backend still counts.
func (g *Gateway) fade(b *backend) float64 {
	return math.Exp(-(g.now - b.seen).Seconds() / (memoryAims * g.memory))
}

// receive reads a peer's message, if it makes sense and is newer than the last from there.
func (g *Gateway) receive(ev *PeerMessage) (m peermsg.Message, p *peer, ok bool) {
	m, ok = peermsg.Parse(ev.Data)
	if !ok || ev.From < 0 || ev.From >= g.set.Gateways || ev.From == g.set.Self {
		return m, nil, false
	}
	p = g.peer(ev.From)
	if p.known && p.epoch == m.Epoch && int32(m.Seq-p.seq) <= 0 {
		return m, p, false
	}
	if !g.ledger.Heard(p.number, m.Epoch, m.You == g.set.Epoch, m.Age, g.age(), g.now) {
		return m, p, false
	}
	if !p.known || p.epoch != m.Epoch {
		g.queue(p, 0) // it wants to know that it is known
	}
	p.known, p.epoch, p.seq = true, m.Epoch, m.Seq
	return m, p, true
}

// start books an attempt of a request at a backend.
func (r *request) start(b *backend, now time.Duration) {
	r.customer.open++
	b.open = append(b.open, r)
	r.at, r.sent, r.depth, r.called, r.aged = b, now, len(b.open), false, false
	r.tried = append(r.tried, b)
	r.attempts++
}

// stop books the end of a request's attempt.
func (r *request) stop() *backend {
	b := r.at
	r.at = nil
	b.open = slices.DeleteFunc(b.open, func(o *request) bool { return o == r })
	r.customer.open--
	return b
}

// avoid leaves a backend alone with one kind of request for a while.
func (b *backend) avoid(kind int, until time.Duration) {
	if b.turned == nil {
		b.turned = map[int]time.Duration{}
	}
	b.turned[kind] = until
}

// moments takes a latency into the running ones.
func (c *class) moments(x, most, weight float64) {
	if c.mean == 0 {
		c.mean, c.mean2 = x, x*x
	}
	c.answers++
	x = min(x, most*c.mean)
	c.mean += weight * (x - c.mean)
	c.mean2 += weight * (x*x - c.mean2)
}

// begin starts the ledger and lets the others know of this start.
func (g *Gateway) begin() {
	if g.set.Epoch == 0 {
		g.set.Epoch = uint32(g.now/time.Millisecond) + 1
	}
	g.nextPeriod = g.now + seconds(g.period)
	g.by(g.nextPeriod)
	g.ledger = quota.New(g.quotaConfig(), g.now)
	if !slices.Contains(g.set.ReportFields, "util") {
		g.ledger.Resolve(quota.Fresh, g.now) // nothing will ever tell
	}
	g.greet()
}

// quotaConfig words the settings for the ledger.
func (g *Gateway) quotaConfig() quota.Config {
	c := quota.Config{Self: g.set.Self, Limiters: g.set.Gateways, Talks: g.talks(), Epoch: g.set.Epoch}
	for _, p := range g.set.Plans {
		c.Plans = append(c.Plans, quota.Plan{
			Quota: quota.Store{Rate: p.Rate, Burst: p.Burst}, Ceiling: quota.Store{Rate: p.CeilingRate, Burst: p.CeilingBurst},
			Places: p.Open, Least: leastChance(p),
		})
	}
	c.Plans = append(c.Plans, quota.Plan{}) // of a plan that the settings do not have
	return c
}

// Turned counts the requests that a Gateway ended without an answer of a backend, by cause.
type Turned struct {
	Beyond uint64 `json:"beyond"` // beyond the quota, as far as was known
	Full   uint64 `json:"full"`   // the window was full and the wait too long
	Held   uint64 `json:"held"`   // held for room until no answer could be in time
	Tried  uint64 `json:"tried"`  // sent, and not to be sent again
}

// Turned counts what this gateway turned away.
func (g *Gateway) Turned() Turned { return g.turned }

// Avoids tells whether a backend is left alone now but for trials.
func (g *Gateway) Avoids(id string) bool {
	b := g.known[id]
	return b == nil || b.gone || b.ejected()
}

// Quota counts what became of rights on customers' stores.
func (g *Gateway) Quota() quota.Counters {
	if g.ledger == nil {
		return quota.Counters{}
	}
	return g.ledger.Counters(g.now)
}

// talks tells whether there is anyone to tell anything.
func (g *Gateway) talks() bool { return g.set.MayTell && g.set.PeerInPerSec > 0 && g.set.Gateways > 1 }

// greet has some other gateways told what is new here, in a large tier as many as fill the pace.
func (g *Gateway) greet() {
	if !g.talks() {
		return
	}
	n := g.set.Gateways - 1
	from := 0
	if n > tellSenders {
		from = g.rng.IntN(n)
	}
	for i := range min(n, tellSenders) {
		g.queue(g.peer((g.set.Self+1+(from+i)%n)%g.set.Gateways), newsWait)
	}
}

// age is how long requests have been coming, in quarters of a second.
func (g *Gateway) age() uint8 {
	switch {
	case g.left:
		return peermsg.Left
	case g.first == 0:
		return 0
	}
	return uint8(min((g.now-g.first)/(250*time.Millisecond), peermsg.Left-1))
}

// lookup finds the record of a request's customer or starts one.
func (g *Gateway) lookup(ev *Request) *customer {
	key := customerKey{ev.Customer, ev.Plan}
	c := g.customers[key]
	if c == nil {
		number, listed := g.plans[ev.Plan]
		c = &customer{name: ev.Customer, plan: &Plan{Name: ev.Plan}, number: len(g.set.Plans)}
		if listed {
			c.plan, c.number = &g.set.Plans[number], number
		}
		c.size = min(max(ev.Spread, 1), g.set.Gateways)
		c.first = (ev.First%g.set.Gateways + g.set.Gateways) % g.set.Gateways
		c.account = g.ledger.Account(hashOf(ev.Customer), c.number, c.first, c.size, g.now)
		g.customers[key] = c
		g.order = append(g.order, c)
	}
	return c
}

// places tells the ledger how many of a customer's places are in use here.
func (g *Gateway) places(c *customer) {
	c.account.Open = c.open + c.held
}

// dropIdle forgets customers that nobody asked for in a while, once nothing is lost by it.
func (g *Gateway) dropIdle() {
	g.ledger.Sweep(seconds(forgetAims*g.aimLong.Seconds()), g.now)
	g.order = slices.DeleteFunc(g.order, func(c *customer) bool {
		if c.account.Gone {
			delete(g.customers, customerKey{c.name, c.plan.Name})
		}
		return c.account.Gone
	})
}

// flush sends what is to be told and due, to each peer at its pace.
func (g *Gateway) flush() {
	for _, who := range g.ledger.Ready() {
		g.queue(g.peer(who), 0)
	}
	for i := 0; i < len(g.telling); i++ {
		p := g.telling[i]
		if g.now < max(p.due, p.paced) || !g.mayTell(p) {
			continue
		}
		p.paced = max(p.paced, g.now-tellBurst*g.gap) + g.gap
		more := g.tell(p)
		p.waits = false
		g.telling = slices.Delete(g.telling, i, i+1)
		i--
		if more {
			g.queue(p, 0)
		}
	}
}

// mayTell tells whether the pace of messages allows one to a peer, and takes it. An answer goes in any case,
// as there are no more of them than asks come in, and takes nothing of the asks' pace: a busy home's own asks
// waited behind its answers until their requests were refused. What only carries news waits until all is there
// that may be saved up of the pace of all messages: it would crowd out rights that move, here and at the peer.
func (g *Gateway) mayTell(p *peer) bool {
	if g.pause == 0 {
		return true
	}
	saved := 2 * tellBurst * g.pause
	at, answers := g.paced, g.ledger.Owes(p.number)
	if !answers && !g.ledger.Wants(p.number) {
		at = max(at, g.pacedAll) + saved
		if g.now >= g.alarm { // nothing that others must know at once
			at = max(at, g.nextNews)
		}
	}
	if g.now < at && !answers {
		g.by(at)
		return false
	}
	g.pacedAll = max(g.pacedAll, g.now-saved) + g.pause
	g.nextNews = g.now + newsPauses*g.pause
	if !answers {
		g.paced = max(g.paced, g.now-saved) + g.pause
	}
	return true
}

// tell sends a peer what it is to be told, as much as fits, and tells whether there is more.
func (g *Gateway) tell(p *peer) (more bool) {
	p.sent++
	m := peermsg.Message{
		Epoch: g.set.Epoch, You: p.epoch, Seq: p.sent, Strain: uint8(min(g.strain*64, math.MaxUint8)), Age: g.age(),
	}
	m.Asks, m.Answers, more = g.ledger.Compose(p.number, g.now)
	m.Sights = g.sights(peermsg.MaxSights)
	g.do(Tell{Peer: p.number, Data: m.Append(nil)})
	return more
}

// clamp keeps a share within the design's bounds.
func clamp(share float64) float64 { return min(max(share, shareLeast), 1) }

// expected is what an attempt takes, by the answers that there were, and at first rather the part of the aim.
// Trouble: in a tier of 300 the first answer, in three of ten cases of a third of the mean, was for long what all
// others were held against.
func (c *class) expected() float64 {
	n := float64(c.answers)
	return (n*c.mean + strainLook*max(c.part(), c.mean)) / (n + strainLook)
}

// late tells whether answers take longer than the part of the aim meant for the backend.
func (c *class) late() bool { return c.mean > c.part() }

// Alone tells whether, with some other gateways out, this one is the last that holds some customer's
// stores.
func (g *Gateway) Alone(out []int) bool { return g.ledger.Alone(out) }

// HoldersOf gives the gateways that hold a customer's stores, of a set of some size in a row from first:
// the same at every gateway.
func HoldersOf(customer string, first, size, gateways int) []int {
	return quota.HoldersOf(hashOf(customer), first, size, gateways)
}
