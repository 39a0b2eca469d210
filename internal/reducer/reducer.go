package reducer

import (
	"fmt"
	"math"
	"slices"
	"time"

	"lemongate"
	"lemongate/internal/handover"
	"lemongate/internal/lease"
	"lemongate/internal/peermsg"
	"lemongate/internal/rollup"
	"lemongate/internal/walk"
)

// A Phase is a stage of the program's life.
type Phase uint8

const (
	Starting Phase = iota // until discovery has told the list, or a short while
	Awaiting              // seeks a process to take over from, or does so
	Serving
	Handing  // nobody admits: a successor is sent the state
	Handed   // a successor admits; what is open here goes on
	Draining // asked to end: still accepts, but keeps no client session
	Closing  // accepts nothing more, answers what it has taken
	Stopped
)

func (p Phase) String() string {
	return [...]string{"starting", "awaiting", "serving", "handing", "handed", "draining", "closing", "stopped"}[p]
}

// Bounds of the program's life. They are the platform's, not a site's.
const (
	settleWithin = 2 * time.Second        // ready by then, whatever discovery does
	settleKnown  = time.Second            // likewise with a list to begin with: what drained since may be in it
	acceptAfter  = 500 * time.Millisecond // new connections go on coming for 0.4 s after SIGTERM
	killAfter    = 700 * time.Millisecond // SIGKILL comes this long after the longest deadline ...
	killLeast    = 3 * time.Second        // ... counted as this long at least
	killMargin   = 200 * time.Millisecond // to be out before
	endMargin    = 50 * time.Millisecond  // all is answered this long before, so that the answers leave the sockets
)

// answerMargin is how long before its deadline a req is answered at the
// latest, so that the answer is with the client in time.
const answerMargin = 10 * time.Millisecond

// Config is what a Reducer is told at its start.
type Config struct {
	Settings lemongate.Settings
	Seed     uint64
	Known    []Entry // the backends as last known; may be old

	Discovery string // where the list of backends is watched
	Publishes bool   // somebody wants the figures

	Generation int64            // of Known
	Takeover   *handover.Limits // takes over from a process that runs, and lets a successor do so; nil for neither
	Epoch      uint32           // of this start
	Leases     *lease.Settings  // tasks that one limiter does at a time; nil for none

	RollupEvery time.Duration // a period of the roll-up, where that is one of the tasks
	Walk        Walk          // planned restarts, likewise
}

// A Reducer is the state of the program. It is not safe for concurrent use.
type Reducer struct {
	set      lemongate.Settings
	gate     *lemongate.Gateway
	phase    Phase
	now      time.Duration
	reqs     map[ReqID]*req
	calls    map[string]ReqID // the clients' own names of these
	fetches  map[FetchID]*fetch
	backends map[string]*Entry // listed and not gone
	source   string            // where discovery is watched
	reading  bool              // the configuration is being read again
	again    bool              // and is to be once more: it may have changed meanwhile
	timers   timers
	wakes    map[string]time.Duration // the Gateway's, by token
	setAt    time.Duration            // the SetTimer that stands
	count    Counters
	lanes    []Lane        // by the classes of the settings
	pending  int           // reqs without an answer
	ends     time.Duration // the program, whatever is open then; once Closing
	out      []Effect
	actions  []lemongate.Action
	backlog  []lemongate.Event // for the Gateway, after the one it handles

	publishes  bool
	kin        kin
	leases     leases
	roll       roll
	turns      turns
	config     Config
	generation int64 // of the list
	last       ReqID // the greatest that the front has given
	published  time.Duration
	publishing bool // a timer stands for what changed since
}

// A req is one that was taken in and is not over or has a fetch out.
type req struct {
	id       ReqID
	callID   string
	class    int // in the settings, -1 for none of them
	effect   lemongate.Effect
	deadline time.Duration
	content  Content
	attempts int
	maybe    bool // a fetch may have run
	answered bool // or its client has left
	remote   bool // it came to the elder, which answers it
	relayed  bool // the heir decides it
	event    *Arrived
	open     int // fetches out
}

// A fetch is an attempt that is out.
type fetch struct {
	req     *req
	backend string
	sent    time.Duration
	leased  bool // under a lease
}

// New returns a Reducer in phase Starting, and the first effects.
func New(now time.Duration, c Config) (*Reducer, []Effect) {
	r := &Reducer{
		set: c.Settings, gate: lemongate.New(c.Settings, c.Seed), now: now, setAt: math.MaxInt64,
		reqs: map[ReqID]*req{}, calls: map[string]ReqID{}, fetches: map[FetchID]*fetch{}, backends: map[string]*Entry{},
		wakes: map[string]time.Duration{}, source: c.Discovery, publishes: c.Publishes, published: now - figuresEvery,
	}
	for _, class := range c.Settings.Classes {
		r.lanes = append(r.lanes, Lane{Class: class.Name})
	}
	r.config, r.kin.adopted, r.leases.born = c, map[FetchID]*Began{}, now
	if c.Leases != nil && slices.Contains(c.Leases.Tasks, Rollup) && c.RollupEvery > 0 {
		r.roll.book = rollup.NewBook(c.Epoch)
	}
	if c.Leases != nil && slices.Contains(c.Leases.Tasks, Restarts) {
		r.turns = turns{on: true, seeker: walk.NewSeeker(c.Epoch)}
	}
	if c.Takeover == nil {
		r.kin.Machine = handover.New(handover.Limits{}, false, now)
		r.begin(false)
		return r, r.finish()
	}
	r.kin.Machine = handover.New(*c.Takeover, true, now)
	r.phase = Awaiting
	r.do(KinSeek{})
	r.kinTimer()
	return r, r.finish()
}

// Phase tells the stage of the program's life.
func (r *Reducer) Phase() Phase { return r.phase }

// Counters tells the counters as they stand.
func (r *Reducer) Counters() Counters {
	c := r.count
	c.OpenFetches, c.Quota = len(r.fetches), r.gate.Quota()
	c.Turned, c.Rollup = r.gate.Turned(), r.roll.count
	c.OpenReqs = r.pending
	for _, b := range r.backends {
		if b.State == lemongate.Live {
			c.LiveBackends++
		}
	}
	return c
}

// Step takes one event and tells what is to be done. The effects are valid
// until the next Step.
func (r *Reducer) Step(now time.Duration, ev Event) []Effect {
	r.now = max(r.now, now)
	r.out = r.out[:0]
	switch ev := ev.(type) {
	case *Arrived:
		r.last = max(r.last, ev.ID)
		r.traffic()
		if ev.Left { // nothing is done for it
			r.count.Received++
			r.count.Left++
			r.do(Answer{Req: ev.ID, Kind: Refused, RetryAfter: r.set.MaxRetryAfter})
			break
		}
		r.arrived(ev, false)
	case *Left:
		r.left(ev.Req)
	case Malformed:
		r.count.Malformed[ev.Cause]++
	case *SessionClosed:
		switch {
		case ev.Full:
			r.count.Full++
		case ev.Unread:
			r.count.ClosedUnread++
		default:
			r.count.ClosedIdle++
		}
	case *FetchEnded:
		r.fetchEnded(ev)
	case *ProbeEnded:
		r.tell(&lemongate.ProbeResult{Backend: ev.Backend, Result: ev.Result, Latency: ev.Latency, Report: ev.Report})
	case *Listed:
		r.listed(ev)
		if r.phase == Starting {
			r.enter(Serving)
		}
	case *Heard:
		r.heard(ev)
	case Ticked:
		r.setAt = math.MaxInt64
	case ReloadAsked:
		r.reload()
	case *Reloaded:
		r.reloaded(ev)
	case Terminated:
		r.terminated()
	case FrontClosed:
		r.enter(Stopped)
	case UseWritten:
		r.useWritten(ev)
	case TurnAsked:
		r.askTurn(ev.Want)
	case TurnForgotten:
		if r.leases.agent != nil {
			r.forgetTurn(ev.Limiter)
		}
	default:
		r.kinEvent(ev)
	}
	r.elapse()
	r.publish()
	r.kinTimer()
	return r.finish()
}

// terminated begins the way out, if nothing else has to be settled first.
func (r *Reducer) terminated() {
	if r.phase >= Draining || r.kin.ended {
		return
	}
	r.kin.ended = true
	effects, alone := r.kin.Told(r.now)
	if r.kinDo(effects); alone {
		r.enter(Draining)
	}
}

// enter moves on to a phase and asks for what it begins with.
func (r *Reducer) enter(p Phase) {
	r.phase = p
	r.do(Log{Text: "phase " + p.String()})
	switch p {
	case Serving:
		r.do(Ready{Is: true})
	case Handing:
		r.halt()
	case Handed:
		r.yield()
	case Draining:
		r.do(Ready{Is: false})
		r.do(EndSessions{})
		r.timers.add(timer{at: r.now + acceptAfter, kind: graceTimer})
	case Closing:
		longest := killLeast
		for _, c := range r.set.Classes {
			longest = max(longest, c.Deadline)
		}
		r.unlend()
		if r.kin.yielded { // the limiter goes on
			r.do(MoveSessions{})
		} else {
			r.tell(lemongate.Leaving{})
		}
		within := longest + killAfter - acceptAfter - killMargin
		r.ends = r.now + within
		r.do(CloseFront{Within: within})
	case Stopped:
		r.do(Exit{})
	}
}

// elapse sees to all timers that are due.
func (r *Reducer) elapse() {
	for {
		t, ok := r.next()
		if !ok || t.at > r.now {
			return
		}
		r.timers.drop()
		switch t.kind {
		case gatewayTimer:
			delete(r.wakes, t.text)
			r.tell(&lemongate.Timer{Token: t.text})
		case deadlineTimer:
			r.overdue(t.id.Req)
		case fetchTimer:
			r.do(StopFetch{Fetch: t.id})
			r.count.TimedOut++
			r.closeFetch(t.id, lemongate.TimedOut, nil, false)
		case settleTimer:
			r.enter(Serving)
		case graceTimer:
			r.enter(Closing)
		case leaseTimer:
			r.leases.due = 0
			r.lease()
		case kinTimer:
			r.kin.due = 0
			r.kinDo(r.kin.Tick(r.now))
		case figuresTimer: // publish sees to it, after all that is due
			r.publishing = false
		}
	}
}

// next gives the earliest timer that still means something. Most do not live
// to their time: reqs are answered and fetches end long before. Waking for
// them would be half of all wake-ups.
func (r *Reducer) next() (timer, bool) {
	for {
		t, ok := r.timers.earliest()
		if !ok || r.stands(t) {
			return t, ok
		}
		r.timers.drop()
	}
}

func (r *Reducer) stands(t timer) bool {
	switch t.kind {
	case gatewayTimer:
		at, set := r.wakes[t.text]
		return set && at == t.at
	case deadlineTimer:
		q := r.reqs[t.id.Req]
		return q != nil && !q.answered
	case fetchTimer:
		return r.fetches[t.id] != nil
	case settleTimer:
		return r.phase == Starting
	case kinTimer:
		return t.at == r.kin.due
	case leaseTimer:
		return t.at == r.leases.due && r.leases.agent != nil
	}
	return true
}

// finish closes a step: one timer stands for the earliest of all.
func (r *Reducer) finish() []Effect {
	if t, ok := r.next(); ok && t.at != r.setAt {
		r.setAt = t.at
		r.do(SetTimer{At: r.setAt})
	}
	return r.out
}

func (r *Reducer) do(e Effect) { r.out = append(r.out, e) }

// arrived takes a req in and arms its deadline: an answer is owed even if the
// Gateway stays silent.
//
// A req under the id of one that is open is turned away: backends and clients
// would take the answer of one for the other's.
//
// Remote tells that it came to the elder, which answers it and counts it.
func (r *Reducer) arrived(ev *Arrived, remote bool) {
	if ev.CallID != "" {
		if _, open := r.calls[ev.CallID]; open {
			r.count.Malformed[OpenID]++
			r.reply(remote, Answer{Req: ev.ID, Kind: Clashed})
			return
		}
		r.calls[ev.CallID] = ev.ID
	}
	q := &req{
		id: ev.ID, callID: ev.CallID, class: -1, deadline: min(ev.At, r.now) + ev.Budget - answerMargin, content: ev.Content,
		remote: remote, event: ev,
	}
	if r.phase >= Closing { // a session that was open already: no longer than there is somebody to answer
		q.deadline = min(q.deadline, r.ends-endMargin)
	}
	if remote {
		q.deadline -= relayMargin
	} else {
		r.count.Received++
		r.pending++
	}
	for i := range r.set.Classes {
		if r.set.Classes[i].Name == ev.Class {
			q.class, q.effect = i, r.set.Classes[i].Effect
		}
	}
	r.reqs[ev.ID] = q
	r.timers.add(timer{at: q.deadline, kind: deadlineTimer, id: FetchID{Req: ev.ID}})
	switch {
	case r.kin.yielded:
		r.relay(q)
	case r.phase == Handing:
		r.kin.parked = append(r.kin.parked, q)
	default:
		r.ask(q)
	}
}

// ask has the Gateway decide a req. It goes by the client's own time, and may tell repeats by it.
func (r *Reducer) ask(q *req) {
	event := q.event.Request
	event.Budget = q.deadline + answerMargin - r.now
	if q.remote {
		event.Budget += relayMargin
	}
	r.tell(&event)
}

// left books that a client has gone: nothing is sent on for it any longer. It is answered all the
// same, as a client that only ended its sending looks like one that has gone.
func (r *Reducer) left(id ReqID) {
	q := r.reqs[id]
	if q == nil || q.answered {
		return
	}
	if q.relayed {
		r.do(KinGave{Req: id})
	}
	q.answered = true
	if !q.remote {
		r.count.Left++
		r.pending--
		r.do(r.unserved(q))
	}
	r.tell(&lemongate.Gone{Request: id})
	for attempt := range q.attempts { // where fetches may not be called off
		if f := (FetchID{id, attempt}); r.fetches[f] != nil {
			r.do(WithdrawFetch{Fetch: f})
		}
	}
	r.forget(q)
}

// overdue answers a req at its deadline if nothing else has.
func (r *Reducer) overdue(id ReqID) {
	q := r.reqs[id]
	if q == nil || q.answered {
		return
	}
	r.count.Overdue++
	if q.relayed {
		r.do(KinGave{Req: id})
	}
	r.answer(q, r.unserved(q))
	r.tell(&lemongate.Gone{Request: id})
	r.forget(q)
}

// unserved is the answer to a req that ends as it stands: a new try does no harm, or it may have run.
func (r *Reducer) unserved(q *req) Answer {
	if q.open == 0 && !q.maybe || q.effect == lemongate.Safe {
		return Answer{Req: q.id, Kind: Refused, RetryAfter: r.set.MaxRetryAfter}
	}
	return Answer{Req: q.id, Kind: Failed}
}

// answer gives a req its final answer. Whoever calls it sees to forget.
func (r *Reducer) answer(q *req, a Answer) {
	if q.answered {
		return
	}
	q.answered = true
	a.Req = q.id
	r.reply(q.remote, a)
	if q.remote {
		return
	}
	r.pending--
	r.ended(q.class, a.Kind)
	switch a.Kind {
	case Served:
		r.count.Served++
	case Refused:
		r.count.Refused++
	case Failed:
		r.count.Failed++
	}
}

// reply sends an answer to who has the client's session.
func (r *Reducer) reply(remote bool, a Answer) {
	if remote {
		r.do(KinReply{a})
		return
	}
	r.do(a)
}

// forget drops a req that is over once none of its fetches is out.
func (r *Reducer) forget(q *req) {
	if q.answered && q.open == 0 {
		delete(r.reqs, q.id)
		delete(r.calls, q.callID)
	}
}

// fetchEnded takes the outcome of a fetch in; one that was given up has had
// its outcome already.
func (r *Reducer) fetchEnded(ev *FetchEnded) {
	f := r.fetches[ev.Fetch]
	if f == nil {
		return
	}
	r.count.Stale += uint64(ev.Stale)
	if ev.Spoilt {
		r.count.Spoilt++
	}
	switch ev.Result {
	case lemongate.NotSent:
		r.count.NotSent++
		if ev.Late && f.leased && r.leases.agent != nil {
			r.leases.agent.Late(Trials)
		}
	case lemongate.Done:
		r.answer(f.req, Answer{Kind: Served, Reply: ev.Reply})
	case lemongate.Errored:
		r.count.Errored++
	case lemongate.TurnedAway:
		r.count.TurnedAway++
	case lemongate.Unreachable, lemongate.Disconnected:
		r.count.Unreachable++
	case lemongate.Broken:
		r.count.Broken++
	}
	r.closeFetch(ev.Fetch, ev.Result, ev.Report, f.req.answered)
}

// closeFetch ends a fetch and tells the Gateway of it.
func (r *Reducer) closeFetch(id FetchID, result lemongate.Result, report []float64, final bool) {
	f := r.fetches[id]
	delete(r.fetches, id)
	f.req.open--
	if !f.req.maybe && !result.NeverRan() {
		f.req.maybe = true
		r.bookUse(&f.req.event.Request) // once the state has gone, in case this process serves on
	}
	if r.kin.mute {
		r.do(KinEnded{Ended{Fetch: id, Backend: f.backend, Result: result, Latency: r.now - f.sent, Report: report}})
	}
	r.tell(&lemongate.Outcome{
		Request: id.Req, Attempt: id.Attempt, Backend: f.backend, Result: result,
		Latency: r.now - f.sent, Final: final || f.req.answered, Report: report,
	})
	r.forget(f.req)
}

// listed brings the list up to date. What drains, is gone or has started anew
// keeps no connection that a new fetch could use. What is gone is forgotten:
// on most days backends are replaced under new ids, and never come back.
func (r *Reducer) listed(ev *Listed) {
	r.count.Lists++
	r.generation = ev.Generation
	list := &lemongate.List{Kind: ev.Kind}
	named := map[string]bool{}
	for _, e := range ev.Entries {
		named[e.ID] = true
		list.Backends = append(list.Backends, e.Backend)
		old := r.backends[e.ID]
		if old != nil && (e.State != lemongate.Live || e.Started != old.Started || e.Addr != old.Addr) {
			r.do(DropBackend{Backend: e.ID})
		}
		if e.State == lemongate.Dead {
			delete(r.backends, e.ID)
			continue
		}
		r.backends[e.ID] = &e
	}
	if ev.Kind == lemongate.ListFull || ev.Kind == lemongate.ListCached {
		var missing []string
		for id := range r.backends {
			if !named[id] {
				missing = append(missing, id)
			}
		}
		slices.Sort(missing) // in the same order every time
		for _, id := range missing {
			delete(r.backends, id)
			r.do(DropBackend{Backend: id})
		}
	}
	r.tell(list)
}

// reload has the configuration read, by one reader at a time. It may be asked
// for in any phase: a program on its way out still needs the list.
func (r *Reducer) reload() {
	if r.again = r.reading; !r.reading && r.phase != Stopped {
		r.reading = true
		r.do(Reload{})
	}
}

// reloaded moves the watch where the new configuration says. The list stays as
// it is until the new place tells one. A bad file changes nothing.
func (r *Reducer) reloaded(ev *Reloaded) {
	r.reading = false
	switch {
	case ev.Err != nil:
		r.count.ReloadsBad++
		r.do(Log{Text: "kept the configuration that runs: " + ev.Err.Error()})
	case ev.Discovery != r.source:
		r.count.Reloads++
		r.source = ev.Discovery
		r.do(Watch{Addr: ev.Discovery})
		r.do(Log{Text: "configuration read again, discovery at " + ev.Discovery})
	default:
		r.count.Reloads++
		r.do(Log{Text: "configuration read again, discovery stays"})
	}
	if r.again {
		r.reload()
	}
}

// heard hands a datagram on. It may hold anything: what is not one of a peer's
// messages is counted and dropped.
func (r *Reducer) heard(ev *Heard) {
	switch {
	case lease.Is(ev.Data):
		r.heardLease(ev)
		return
	case rollup.Is(ev.Data):
		r.heardUse(ev)
		return
	case walk.Is(ev.Data):
		r.heardTurn(ev)
		return
	}
	if _, ok := peermsg.Parse(ev.Data); !ok || ev.From < 0 || ev.From >= r.set.Gateways {
		r.count.PeerBad++
		return
	}
	r.count.PeerIn++
	r.tell(&lemongate.PeerMessage{From: ev.From, Data: ev.Data})
}

// tell hands an event to the Gateway and turns its actions into effects. What
// these bring about at once (a fetch that is not sent, one that is called off)
// the Gateway is told after them, as it would be by an edge.
func (r *Reducer) tell(ev lemongate.Event) {
	r.backlog = append(r.backlog, ev)
	if len(r.backlog) > 1 {
		return // the loop below, further up the stack, gets there
	}
	for len(r.backlog) > 0 {
		r.actions = r.gate.Handle(r.now, r.backlog[0], r.actions[:0])
		for _, a := range r.actions {
			r.act(a)
		}
		r.backlog = r.backlog[1:]
	}
	r.backlog = nil
}

func (r *Reducer) act(action lemongate.Action) {
	switch a := action.(type) {
	case lemongate.Send:
		r.send(a)
	case lemongate.Refuse:
		r.end(a.Request, Answer{Kind: Refused, RetryAfter: a.After})
	case lemongate.Fail:
		r.end(a.Request, Answer{Kind: Failed})
	case lemongate.Cancel:
		if id := (FetchID{a.Request, a.Attempt}); r.fetches[id] != nil {
			r.do(StopFetch{Fetch: id})
			r.closeFetch(id, lemongate.Canceled, nil, false)
		}
	case lemongate.Wake:
		r.wakes[a.Token] = a.At
		r.timers.add(timer{at: a.At, kind: gatewayTimer, text: a.Token})
	case lemongate.Tell:
		if r.kin.mute {
			return // peers hear the heir
		}
		r.count.PeerOut++
		r.do(Tell{Peer: a.Peer, Data: a.Data})
	case lemongate.Probe:
		if b := r.backends[a.Backend]; b != nil && b.State == lemongate.Live && !r.kin.mute {
			r.count.Probes++
			r.do(Probe{Backend: b.ID, Addr: b.Addr})
		}
	case lemongate.Watch: // discovery is always watched here
	case lemongate.Log:
		r.do(Log{Text: a.Text})
	default:
		r.do(Log{Text: fmt.Sprintf("unknown action %T", a)})
	}
}

// end answers a req as the Gateway wants it answered.
func (r *Reducer) end(id ReqID, a Answer) {
	if q := r.reqs[id]; q != nil {
		r.answer(q, a)
		r.forget(q)
	}
}

// send starts a fetch, unless it comes too late or would be one too many; then
// the Gateway hears that it was not sent.
func (r *Reducer) send(a lemongate.Send) {
	q, b := r.reqs[a.Request], r.backends[a.Backend]
	if q == nil {
		return
	}
	id := FetchID{q.id, q.attempts}
	q.attempts++
	until := q.deadline
	if a.GiveUp > 0 {
		until = min(until, a.GiveUp)
	}
	var token uint64
	before, inTime := a.Before, true
	if a.Trial {
		var until time.Duration
		if token, until, inTime = r.underLease(); before == 0 || until < before {
			before = until
		}
	}
	unfit := b == nil || b.State != lemongate.Live || b.Addr == ""
	if !inTime || q.answered || until <= r.now || q.attempts > max(r.set.MaxAttempts, 1) || unfit {
		r.count.NotSent++
		r.tell(&lemongate.Outcome{
			Request: q.id, Attempt: id.Attempt, Backend: a.Backend, Result: lemongate.NotSent, Final: q.answered,
		})
		return
	}
	r.count.Fetched++
	if id.Attempt > 0 {
		r.count.Retries++
	}
	q.open++
	r.fetches[id] = &fetch{req: q, backend: b.ID, sent: r.now, leased: a.Trial}
	r.timers.add(timer{at: until, kind: fetchTimer, id: id})
	if r.kin.mute {
		r.do(KinBegan{q.began(id, b.ID)})
	}
	r.do(StartFetch{Fetch: id, Backend: b.ID, Addr: b.Addr, Wait: until - r.now, Content: q.content, Token: token, Before: before})
}
