package lemongate

import (
	"cmp"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"lemongate/internal/peermsg"
)

// This file holds what a Gateway remembers, and nothing that decides.

// newState returns a Gateway with what the settings say and nothing more.
func newState(set Settings, seed uint64) *Gateway {
	g := &Gateway{
		set: set, rng: rand.New(rand.NewPCG(seed, 0)), peers: map[int]*peer{}, byName: map[string]*class{},
		plans: map[string]int{}, requests: map[RequestID]*request{}, known: map[string]*backend{},
		byKey: map[uint16]*backend{}, customers: map[string]*customer{}, byHash: map[uint32]*customer{},
	}
	g.set.Gateways = max(set.Gateways, 1)
	g.epoch = uint16(g.rng.Uint32())
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
	set     Settings
	rng     *rand.Rand
	born    time.Duration
	now     time.Duration
	out     []Action
	running bool

	classes   []*class // as in the settings
	byName    map[string]*class
	preferred []*class // the same, by falling worth
	plans     map[string]int
	requests  map[RequestID]*request
	retries   []*request // waiting for a backend that their next attempt may use

	backends []*backend // listed and live
	known    map[string]*backend

	byKey    map[uint16]*backend // listed and live, by what peers call them
	news     []*backend          // seen of late and not yet told often enough
	meanLoad float64             // of the load reports seen here

	customers map[string]*customer
	byHash    map[uint32]*customer
	order     []*customer // as first met
	asking    []*customer // whose requests wait for a home's word
	peers     map[int]*peer
	gap       time.Duration // between messages to one peer
	telling   []*peer       // something is to be told there

	aimShort, aimLong time.Duration
	nextPeriod        time.Duration
	wakeAt, dueAt     time.Duration // the timer set, and when something is due
	roundTrip         float64       // seconds from an ask to its answer, mean
	reach             float64       // part of the gateways that answer asks
	mute              int           // the last that did not
	carry             saved         // attempts, while the window is under one
	cold              saved         // attempts at a wholly cold choice
	scale             float64       // of the window
	strain            float64       // what attempts take, in their part of the aim
	quotas            float64       // requests a second that the customers served here may send
	meanAim           float64
	period            float64       // seconds of a control period
	memory            float64       // seconds over which rates are seen
	forget            time.Duration // idle customers go after this
	typical           float64       // median slope of the backends
	bound             bool          // the window was full at some time in this period
	retryTokens       float64
	retryMost         float64 // saved up at most
	sendRate          decayed // first and further attempts
	watch             bool    // the list must be asked for
	epoch             uint16
}

type class struct {
	Class
	queue  []*request
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
	aged     bool // its attempt counted by its age already
}

type backend struct {
	Backend
	open   []*request // attempts out, oldest first
	slope  float64    // latency per attempt out, in class means
	seen   time.Duration
	fails  float64 // share of failures
	until  time.Duration
	doubts int                   // ejections in a row
	turned map[int]time.Duration // kinds of request turned away; left alone until then
	gone   bool
	left   time.Duration // when it went, 0 while it is listed

	key   uint16        // what peers call it
	load  float64       // against its fellows, as anyone saw it last
	heard time.Duration // when that was
	told  int           // times still to be told
}

type customer struct {
	name        string
	hash        uint32
	plan        *Plan
	number      int // of the plan
	first, size int
	ranks       []int // its home and who stands in, best first
	seen        time.Duration
	units       float64 // running mean of a request's

	level      float64 // of the store: at a home as it is, elsewhere at most so much
	at         time.Duration
	ceiling    float64
	total      uint16 // parts taken in this life
	open, held int

	waits   bool       // requests wait for the home's word
	asks    []*request // wait for the home's word, in order
	askTo   int
	askAt   time.Duration
	known   bool // a home has told its level of late
	told    bool // or ever
	toldAt  time.Duration
	others  float64 // units a second that other gateways take
	repeat  int     // times that a freed place is still to be told
	holders map[int]*holder
	out     int // sum over holders
	swept   time.Duration
	use     decayed // units, of all that report here
}

// A holder is a gateway that reports to this home.
type holder struct {
	epoch uint16
	drawn uint16 // parts taken from the store for it
	out   int
	at    time.Duration
}

type peer struct {
	number  int
	epoch   uint16
	known   bool
	seq     uint8         // of its last message
	sent    uint8         // of the last to it
	heard   time.Duration // when its last message came
	missed  int           // asks that it left unanswered in a row
	until   time.Duration // not asked before this
	asks    []*customer
	answers []peermsg.Answer
	due     time.Duration // of what is to be told
	paced   time.Duration // when the pace allows the next message
	waits   bool          // something is to be told
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

func (g *Gateway) meet(hash uint32) *customer {
	c := g.byHash[hash]
	if c == nil {
		c = &customer{hash: hash, at: g.now, seen: g.now}
		g.byHash[hash] = c
		g.order = append(g.order, c)
	}
	return c
}

// peer finds or starts what is remembered of a gateway.
func (g *Gateway) peer(number int) *peer {
	p := g.peers[number]
	if p == nil {
		p = &peer{number: number, paced: math.MinInt64}
		g.peers[number] = p
	}
	return p
}

// rank gives the n gateways of a customer's set that come first by rendezvous
// hashing: the same at every gateway, whoever asks.
func rank(hash uint32, first, size, gateways, n int) []int {
	var best []int
	var score []uint64
	for i := range size {
		who := (first%gateways + gateways + i) % gateways
		v := mix(uint64(hash)<<32 | uint64(who))
		at := len(best)
		for at > 0 && score[at-1] < v {
			at--
		}
		if at < n {
			best, score = slices.Insert(best, at, who), slices.Insert(score, at, v)
			best, score = best[:min(len(best), n)], score[:min(len(score), n)]
		}
	}
	return best
}

// mix spreads the bits of a number evenly.
func mix(v uint64) uint64 {
	v ^= v >> 30
	v *= 0xbf58476d1ce4e5b9
	v ^= v >> 27
	v *= 0x94d049bb133111eb
	return v ^ v>>31
}

// parts turns units into the whole parts that messages count in.
func parts(units float64) uint16 {
	most := float64(math.MaxInt16 / peermsg.Part)
	p := math.Ceil(min(math.Abs(units), most) * peermsg.Part)
	return uint16(int64(math.Copysign(p, units)))
}

// signed is a difference of two running totals.
func signed(a, b uint16) float64 { return float64(int16(a-b)) / peermsg.Part }

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

// silent tells whether a backend has answered nothing since it was sent a request.
func (b *backend) silent(r *request) bool { return b.seen <= r.sent }

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
			b = &backend{load: 1, key: uint16(hashOf(e.ID))}
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
	for _, b := range g.backends {
		g.byKey[b.key] = b
	}
	return started
}

// ejected tells whether a backend is trusted with no more than trials.
func (b *backend) ejected() bool { return b.until > 0 }

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

// lookup finds the record of a request's customer or starts one.
func (g *Gateway) lookup(ev *Request) *customer {
	c := g.customers[ev.Customer]
	if c == nil {
		c = g.meet(hashOf(ev.Customer))
		c.name = ev.Customer
		g.customers[ev.Customer] = c
	}
	if c.plan == nil {
		number, listed := g.plans[ev.Plan]
		c.plan = &Plan{Name: ev.Plan}
		if listed {
			c.plan, c.number = &g.set.Plans[number], number
		}
	}
	return c
}

// by sees to it that a beat comes at a time. There is no other clock: what is
// idle costs nothing, in a large fleet most of all.
func (g *Gateway) by(at time.Duration) { g.dueAt = min(g.dueAt, at) }

// tell has a customer reported to its home, after a part of the shortest aim at the latest.
func (g *Gateway) tell(c *customer, to int, wait float64) {
	if to < 0 || to == g.set.Self || c.plan.Rate <= 0 && c.plan.Open <= 0 {
		return
	}
	p := g.peer(to)
	if !slices.Contains(p.asks, c) {
		p.asks = append(p.asks, c)
	}
	g.queue(p, wait)
}

func (g *Gateway) queue(p *peer, wait float64) {
	at := g.now + seconds(wait*g.aimShort.Seconds())
	if !p.waits {
		p.waits, p.due = true, at
		g.telling = append(g.telling, p)
	}
	p.due = min(p.due, at)
	g.by(max(p.due, p.paced))
}

// entry is what a home is told of a customer.
func (g *Gateway) entry(c *customer) peermsg.Ask {
	g.fill(c)
	a := peermsg.Ask{
		Customer: c.hash, Plan: uint8(c.number), Total: c.total, Out: uint8(min(c.open+c.held, math.MaxUint8)),
		Waiting: uint8(min(len(c.asks), math.MaxUint8)), Level: peermsg.Unknown,
	}
	for _, r := range c.asks {
		a.Want += parts(r.Units)
	}
	if c.told && c.plan.Burst > 0 {
		a.Level = uint8(min(max(c.level/c.plan.Burst, 0), 1) * (peermsg.Unknown - 1))
	}
	return a
}

// spread has a sight passed on.
func (g *Gateway) spread(b *backend, at time.Duration) {
	b.heard = at
	if b.told == 0 {
		g.news = append(g.news, b)
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

// compose packs what a peer is to be told: at most some customers, answers and sights each. It tells
// how long what is left may wait: a freed place is told once more.
func (g *Gateway) compose(p *peer, digest int, wait float64) (data []byte, again float64) {
	p.sent++
	m := peermsg.Message{Epoch: g.epoch, You: p.epoch, Seq: p.sent, Strain: uint8(min(g.strain*64, math.MaxUint8))}
	for _, c := range p.asks[:min(len(p.asks), peermsg.MaxAsks)] {
		m.Asks = append(m.Asks, g.entry(c))
		if c.askTo == p.number {
			c.askAt = g.now // it waited here until now
		}
		if c.repeat--; c.repeat >= 0 {
			p.asks, again = append(p.asks, c), wait
		}
	}
	p.asks = p.asks[len(m.Asks):]
	n := min(len(p.answers), peermsg.MaxAnswers)
	m.Answers, p.answers = p.answers[:n:n], p.answers[n:]
	m.Sights = g.sights(digest)
	return m.Append(nil), again
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

// settle books what a holder says that it took. It gives the units taken without asking, those
// granted that it left, and those that it wants beyond what it was granted.
func (h *holder) settle(a peermsg.Ask) (sent, left, need float64) {
	if d := signed(a.Total, h.drawn); d > 0 {
		sent, h.drawn = d, a.Total
	} else if d += float64(a.Want) / peermsg.Part; d < 0 {
		left, h.drawn = -d, a.Total+a.Want
	}
	return sent, left, max(signed(a.Total+a.Want, h.drawn), 0)
}

// holder finds or starts the record of a gateway that reports a customer here. One not heard of for long
// may have forgotten the customer and count from nothing again; or else it asks before it sends, so that
// all it took is booked already.
func (c *customer) holder(p *peer, a peermsg.Ask, now, forget time.Duration) *holder {
	h := c.holders[p.number]
	if h == nil {
		h = &holder{epoch: p.epoch, at: now - forget}
		c.holders[p.number] = h
	}
	switch {
	case h.epoch != p.epoch: // it started anew, from nothing
		h.epoch, h.drawn = p.epoch, 0
	case now-h.at <= forget*3/4:
	case a.Level == peermsg.Unknown: // no home has told it anything yet
		h.drawn = 0
	default: // what it took before now is booked, or another home's
		h.drawn = a.Total
	}
	return h
}

// settled takes the requests from a customer's waiting ones that a home's answer covers, and tells
// of each whether it may go, and how many granted units are left.
func (c *customer) settled(a peermsg.Answer) (list []*request, ok []bool, left float64) {
	left = max(signed(a.UpTo, c.total), 0)
	covered := signed(a.Asked, c.total)
	for len(c.asks) > 0 {
		r := c.asks[0]
		u := float64(parts(r.Units)) / peermsg.Part
		if !r.over && covered < u {
			break
		}
		c.asks = c.asks[1:]
		if r.over {
			continue
		}
		covered -= u
		list, ok = append(list, r), append(ok, u <= left)
		if u <= left {
			left -= u
		}
	}
	return list, ok, left
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

// dropIdle forgets customers that nobody asked for in a while.
func (g *Gateway) dropIdle() {
	g.order = slices.DeleteFunc(g.order, func(c *customer) bool {
		idle := g.now-max(c.seen, c.at) > g.forget && c.open+c.held+len(c.asks) == 0
		if idle {
			delete(g.byHash, c.hash)
			delete(g.customers, c.name)
		}
		return idle
	})
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

// warm is the capacity of the trusted backends, in warm ones.
func (g *Gateway) warm() float64 {
	sum := 0.0
	for _, o := range g.backends {
		if !o.ejected() {
			sum += g.warmth(o)
		}
	}
	return sum
}

// kind is what a backend may turn away apart from the rest: a class of a plan.
func (g *Gateway) kind(r *request) int {
	return r.customer.number*len(g.classes) + slices.Index(g.classes, r.class)
}

// fade is how much of what was seen of a backend still counts.
func (g *Gateway) fade(b *backend) float64 {
	return math.Exp(-(g.now - b.seen).Seconds() / (memoryAims * g.memory))
}

// outside is how many attempts other gateways have out for a customer. What was told long ago is over:
// looked for once in a while, as it walks the holders.
func (g *Gateway) outside(c *customer) int {
	if c.out > 0 && g.now-c.swept > g.aimLong {
		c.swept = g.now
		for _, h := range c.holders {
			if (g.now - h.at).Seconds() > openAims*g.aimLong.Seconds() {
				c.out -= h.out
				h.out = 0
			}
		}
	}
	return c.out
}

// receive reads a peer's message, if it makes sense and is newer than the last from there.
func (g *Gateway) receive(ev *PeerMessage) (m peermsg.Message, p *peer, ok bool) {
	m, ok = peermsg.Parse(ev.Data)
	if !ok || ev.From < 0 || ev.From >= g.set.Gateways || ev.From == g.set.Self {
		return m, nil, false
	}
	p = g.peer(ev.From)
	if p.known && p.epoch == m.Epoch && int8(m.Seq-p.seq) <= 0 {
		return m, p, false
	}
	p.known, p.epoch, p.seq, p.missed, p.heard = true, m.Epoch, m.Seq, 0, g.now
	return m, p, true
}

// hold finds or starts the customer that an ask is about, and what the sender holds of it.
func (g *Gateway) hold(p *peer, a peermsg.Ask) (*customer, *holder) {
	c := g.meet(a.Customer)
	if c.plan == nil {
		c.plan, c.number = &g.set.Plans[a.Plan], int(a.Plan)
	}
	if c.holders == nil {
		c.holders = map[int]*holder{}
		if c.units == 0 {
			c.level, c.at = c.plan.Burst, g.now
		}
		if a.Level != peermsg.Unknown { // a home before this one told more
			c.level = min(c.level, float64(a.Level)/(peermsg.Unknown-1)*c.plan.Burst)
		}
	}
	h := c.holder(p, a, g.now, g.forget)
	c.seen, h.at = g.now, g.now
	return c, h
}

// answer puts a home's word on a customer among what a peer is to be told.
func (p *peer) answer(c *customer, a peermsg.Ask, upTo uint16, others float64) {
	p.answers = slices.DeleteFunc(p.answers, func(o peermsg.Answer) bool { return o.Customer == c.hash })
	p.answers = append(p.answers, peermsg.Answer{
		Customer: c.hash, Asked: a.Total + a.Want, UpTo: upTo, Others: uint8(min(others, math.MaxUint8)),
		Level: int8(min(max(c.level/max(c.plan.Burst, 1e-3), -1), 1) * math.MaxInt8),
	})
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
	x = min(x, most*c.mean)
	c.mean += weight * (x - c.mean)
	c.mean2 += weight * (x*x - c.mean2)
}

// What a gateway can say of a request's quota by itself.
const (
	refused = iota
	granted
	mustAsk
)

// flush sends what is to be told and due, to each peer at its pace.
func (g *Gateway) flush() {
	for i := 0; i < len(g.telling); i++ {
		p := g.telling[i]
		if g.now < max(p.due, p.paced) {
			continue
		}
		p.paced = max(p.paced, g.now-tellBurst*g.gap) + g.gap
		data, again := g.compose(p, tellDigest, tellWait)
		g.do(Tell{Peer: p.number, Data: data})
		p.waits = false
		g.telling = slices.Delete(g.telling, i, i+1)
		i--
		if len(p.asks)+len(p.answers) > 0 {
			g.queue(p, again)
		}
	}
}

// clamp keeps a share within the design's bounds.
func clamp(share float64) float64 { return min(max(share, shareLeast), 1) }

// late tells whether answers take longer than the part of the aim meant for the backend.
func (c *class) late() bool { return c.mean > c.part() }
