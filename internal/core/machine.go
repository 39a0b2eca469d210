package core

import (
	"fmt"
	"math"
	"slices"
	"time"

	"lemongate/internal/admission"
	"lemongate/internal/gossip"
	"lemongate/internal/hotrestart"
	"lemongate/internal/lease"
	"lemongate/internal/rollingrestart"
	"lemongate/internal/usage"
)

// A Phase is a stage of the program's life.
type Phase uint8

const (
	Starting            Phase = iota // until discovery has told the list, or a short while
	AwaitingPredecessor              // seeks a process to take over from, or does so
	Serving
	TransferringState // nobody admits: a successor is sent the state
	HandedOver        // a successor admits; what is open here goes on
	Draining          // asked to end: still accepts, but keeps no client session
	Closing           // accepts nothing more, answers what it has taken
	Stopped
)

func (p Phase) String() string {
	return [...]string{"starting", "awaiting", "serving", "handing", "handed", "draining", "closing", "stopped"}[p]
}

// Bounds of the program's life. They are the platform's, not a site's.
const (
	discoveryTimeout  = 2 * time.Second        // ready by then, whatever discovery does
	cachedListTimeout = time.Second            // likewise with a list to begin with: what drained since may be in it
	acceptGrace       = 500 * time.Millisecond // new connections go on coming for 0.4 s after SIGTERM
	killAfter         = 700 * time.Millisecond // SIGKILL comes this long after the longest deadline ...
	killAfterLeast    = 3 * time.Second        // ... counted as this long at least
	killMargin        = 200 * time.Millisecond // to be out before
	exitMargin        = 50 * time.Millisecond  // all is answered this long before, so that the answers leave the sockets
)

// responseMargin is how long before its deadline a req is answered at the
// latest, so that the answer is with the client in time.
const responseMargin = 10 * time.Millisecond

// Config is what a Reducer is told at its start.
type Config struct {
	Settings       admission.Settings
	Seed           uint64
	KnownEndpoints []Endpoint // the backends as last known; may be old

	Discovery        string // where the list of backends is watched
	PublishesMetrics bool   // somebody wants the figures

	Generation int64              // of Known
	HotRestart *hotrestart.Limits // takes over from a process that runs, and lets a successor do so; nil for neither
	Epoch      uint32             // of this start
	Leases     *lease.Settings    // tasks that one limiter does at a time; nil for none

	UsagePeriod  time.Duration // a period of the roll-up, where that is one of the tasks
	RestartSlots RestartSlots  // planned restarts, likewise
}

// A Machine is the state of the program. It is not safe for concurrent use.
type Machine struct {
	settings          admission.Settings
	controller        *admission.Controller
	phase             Phase
	now               time.Duration
	requests          map[RequestID]*request
	requestsByCallID  map[string]RequestID // the clients' own names of these
	attempts          map[AttemptID]*attempt
	backends          map[string]*Endpoint // listed and not gone
	discoveryAddr     string               // where discovery is watched
	reloading         bool                 // the configuration is being read again
	reloadAgain       bool                 // and is to be once more: it may have changed meanwhile
	timers            timers
	controllerTimerAt time.Duration // what the Controller asked for last; 0 for none
	timerAt           time.Duration // the SetTimer that stands
	counters          Counters
	classCounts       []ClassCounts // by the classes of the settings
	pending           int           // reqs without an answer
	exitBy            time.Duration // the program, whatever is open then; once Closing
	effects           []Effect
	actions           []admission.Action
	pendingEvents     []admission.Event // for the Gateway, after the one it handles

	publishesMetrics bool
	hotRestart       hotRestart
	leases           leases
	usage            usageState
	restartSlots     restartSlots
	config           Config
	generation       int64     // of the list
	lastRequest      RequestID // the greatest that the front has given
	publishedAt      time.Duration
	publishPending   bool // a timer stands for what changed since
}

// A request is one that was taken in and is not over or has a fetch out.
type request struct {
	id              RequestID
	callID          string
	class           int // in the settings, -1 for none of them
	idempotency     admission.Idempotency
	deadline        time.Duration
	content         Content
	attempts        int
	mayHaveRun      bool // a fetch may have run
	answered        bool // or its client has left
	fromPredecessor bool // it came to the elder, which answers it
	forwarded       bool // the heir decides it
	event           *RequestReceived
	openAttempts    int // fetches out
}

// A attempt is an attempt that is out.
type attempt struct {
	request    *request
	backend    string
	sentAt     time.Duration
	underLease bool // under a lease
}

// New returns a Reducer in phase Starting, and the first effects.
func New(now time.Duration, c Config) (*Machine, []Effect) {
	r := &Machine{
		settings: c.Settings, controller: admission.New(c.Settings, c.Seed), now: now, timerAt: math.MaxInt64,
		requests: map[RequestID]*request{}, requestsByCallID: map[string]RequestID{}, attempts: map[AttemptID]*attempt{}, backends: map[string]*Endpoint{},
		discoveryAddr: c.Discovery, publishesMetrics: c.PublishesMetrics, publishedAt: now - metricsInterval,
	}
	for _, class := range c.Settings.Classes {
		r.classCounts = append(r.classCounts, ClassCounts{Class: class.Name})
	}
	r.config, r.hotRestart.adopted, r.leases.startedAt = c, map[AttemptID]*OpenAttempt{}, now
	if c.Leases != nil && slices.Contains(c.Leases.Tasks, TaskUsage) && c.UsagePeriod > 0 {
		r.usage.recorder = usage.NewRecorder(c.Epoch)
	}
	if c.Leases != nil && slices.Contains(c.Leases.Tasks, TaskRestarts) {
		r.restartSlots = restartSlots{enabled: true, requester: rollingrestart.NewRequester(c.Epoch)}
	}
	if c.HotRestart == nil {
		r.hotRestart.Machine = hotrestart.New(hotrestart.Limits{}, false, now)
		r.startFresh(false)
		return r, r.finishStep()
	}
	r.hotRestart.Machine = hotrestart.New(*c.HotRestart, true, now)
	r.phase = AwaitingPredecessor
	r.emit(ConnectPredecessor{})
	r.armHotRestartTimer()
	return r, r.finishStep()
}

// Phase tells the stage of the program's life.
func (r *Machine) Phase() Phase { return r.phase }

// Counters tells the counters as they stand.
func (r *Machine) Counters() Counters {
	c := r.counters
	c.OpenFetches, c.Quota = len(r.attempts), r.controller.QuotaCounters()
	c.Turned, c.Rollup = r.controller.Rejections(), r.usage.counts
	c.OpenReqs = r.pending
	for _, b := range r.backends {
		if b.State == admission.Live {
			c.LiveBackends++
		}
	}
	return c
}

// Step takes one event and tells what is to be done. The effects are valid
// until the next Step.
func (r *Machine) Step(now time.Duration, ev Event) []Effect {
	r.now = max(r.now, now)
	r.effects = r.effects[:0]
	switch ev := ev.(type) {
	case *RequestReceived:
		r.lastRequest = max(r.lastRequest, ev.ID)
		r.noteTraffic()
		if ev.Disconnected { // nothing is done for it
			r.counters.Received++
			r.counters.Left++
			r.emit(Respond{Request: ev.ID, Kind: Rejected, RetryAfter: r.settings.MaxRetryAfter})
			break
		}
		r.onRequest(ev, false)
	case *ClientDisconnected:
		r.onClientDisconnected(ev.Request)
	case RequestMalformed:
		r.counters.Malformed[ev.Cause]++
	case *ClientConnClosed:
		switch {
		case ev.Full:
			r.counters.Full++
		case ev.Unread:
			r.counters.ClosedUnread++
		default:
			r.counters.ClosedIdle++
		}
	case *AttemptFinished:
		r.onAttemptFinished(ev)
	case *ProbeFinished:
		r.decide(&admission.ProbeResult{Backend: ev.Backend, Result: ev.Result, Latency: ev.Latency, Report: ev.Report})
	case *EndpointsUpdated:
		r.onEndpoints(ev)
		if r.phase == Starting {
			r.enterPhase(Serving)
		}
	case *PeerMessageReceived:
		r.onPeerMessage(ev)
	case TimerFired:
		r.timerAt = math.MaxInt64
	case ReloadRequested:
		r.reloadConfig()
	case *ConfigReloaded:
		r.onConfigReloaded(ev)
	case ShutdownRequested:
		r.onShutdownRequested()
	case ServerClosed:
		r.enterPhase(Stopped)
	case UsageWritten:
		r.onUsageWritten(ev)
	case RestartSlotRequested:
		r.requestSlot(ev.Wanted)
	case RestartSlotReleased:
		if r.leases.agent != nil {
			r.releaseSlot(ev.Limiter)
		}
	default:
		r.onHotRestartEvent(ev)
	}
	r.runTimers()
	r.publishMetrics()
	r.armHotRestartTimer()
	return r.finishStep()
}

// onShutdownRequested begins the way out, if nothing else has to be settled first.
func (r *Machine) onShutdownRequested() {
	if r.phase >= Draining || r.hotRestart.shutdownRequested {
		return
	}
	r.hotRestart.shutdownRequested = true
	effects, alone := r.hotRestart.ShutdownRequested(r.now)
	if r.applyHotRestart(effects); alone {
		r.enterPhase(Draining)
	}
}

// enterPhase moves on to a phase and asks for what it begins with.
func (r *Machine) enterPhase(p Phase) {
	r.phase = p
	r.emit(Log{Text: "phase " + p.String()})
	switch p {
	case Serving:
		r.emit(SetReady{Ready: true})
	case TransferringState:
		r.stopAdmitting()
	case HandedOver:
		r.forwardRequests()
	case Draining:
		r.emit(SetReady{Ready: false})
		r.emit(DrainClientConns{})
		r.timers.add(timer{at: r.now + acceptGrace, kind: graceTimer})
	case Closing:
		longest := killAfterLeast
		for _, c := range r.settings.Classes {
			longest = max(longest, c.Deadline)
		}
		r.releaseLeases()
		if r.hotRestart.forwarding { // the limiter goes on
			r.emit(MoveClientConns{})
		} else {
			r.decide(admission.ShutdownStarted{})
		}
		within := longest + killAfter - acceptGrace - killMargin
		r.exitBy = r.now + within
		r.emit(CloseServer{Within: within})
	case Stopped:
		r.emit(Exit{})
	}
}

// runTimers sees to all timers that are due.
func (r *Machine) runTimers() {
	for {
		t, ok := r.nextTimer()
		if !ok || t.at > r.now {
			return
		}
		r.timers.removeEarliest()
		switch t.kind {
		case controllerTimer:
			r.controllerTimerAt = 0
			r.decide(admission.TimerFired{})
		case deadlineTimer:
			r.onDeadline(t.id.Request)
		case attemptTimer:
			r.emit(CancelAttempt{Attempt: t.id})
			r.counters.TimedOut++
			r.closeAttempt(t.id, admission.TimedOut, nil, false)
		case discoveryTimer:
			r.enterPhase(Serving)
		case graceTimer:
			r.enterPhase(Closing)
		case leaseTimer:
			r.leases.due = 0
			r.runLeases()
		case hotRestartTimer:
			r.hotRestart.timerAt = 0
			r.applyHotRestart(r.hotRestart.Tick(r.now))
		case metricsTimer: // publish sees to it, after all that is due
			r.publishPending = false
		}
	}
}

// nextTimer gives the earliest timer that still means something. Most do not live
// to their time: reqs are answered and fetches end long before. Waking for
// them would be half of all wake-ups.
func (r *Machine) nextTimer() (timer, bool) {
	for {
		t, ok := r.timers.earliest()
		if !ok || r.timerValid(t) {
			return t, ok
		}
		r.timers.removeEarliest()
	}
}

func (r *Machine) timerValid(t timer) bool {
	switch t.kind {
	case controllerTimer:
		return t.at == r.controllerTimerAt
	case deadlineTimer:
		q := r.requests[t.id.Request]
		return q != nil && !q.answered
	case attemptTimer:
		return r.attempts[t.id] != nil
	case discoveryTimer:
		return r.phase == Starting
	case hotRestartTimer:
		return t.at == r.hotRestart.timerAt
	case leaseTimer:
		return t.at == r.leases.due && r.leases.agent != nil
	}
	return true
}

// finishStep closes a step: one timer stands for the earliest of all.
func (r *Machine) finishStep() []Effect {
	if t, ok := r.nextTimer(); ok && t.at != r.timerAt {
		r.timerAt = t.at
		r.emit(SetTimer{At: r.timerAt})
	}
	return r.effects
}

func (r *Machine) emit(e Effect) { r.effects = append(r.effects, e) }

// onRequest takes a req in and arms its deadline: an answer is owed even if the
// Gateway stays silent.
//
// A req under the id of one that is open is turned away: backends and clients
// would take the answer of one for the other's.
//
// Remote tells that it came to the elder, which answers it and counts it.
func (r *Machine) onRequest(ev *RequestReceived, remote bool) {
	if ev.CallID != "" {
		if _, open := r.requestsByCallID[ev.CallID]; open {
			r.counters.Malformed[OpenID]++
			r.sendResponse(remote, Respond{Request: ev.ID, Kind: DuplicateID})
			return
		}
		r.requestsByCallID[ev.CallID] = ev.ID
	}
	q := &request{
		id: ev.ID, callID: ev.CallID, class: -1, deadline: min(ev.ReceivedAt, r.now) + ev.Budget - responseMargin, content: ev.Content,
		fromPredecessor: remote, event: ev,
	}
	if r.phase >= Closing { // a session that was open already: no longer than there is somebody to answer
		q.deadline = min(q.deadline, r.exitBy-exitMargin)
	}
	if remote {
		q.deadline -= forwardMargin
	} else {
		r.counters.Received++
		r.pending++
	}
	for i := range r.settings.Classes {
		if r.settings.Classes[i].Name == ev.Class {
			q.class, q.idempotency = i, r.settings.Classes[i].Idempotency
		}
	}
	r.requests[ev.ID] = q
	r.timers.add(timer{at: q.deadline, kind: deadlineTimer, id: AttemptID{Request: ev.ID}})
	switch {
	case r.hotRestart.forwarding:
		r.forward(q)
	case r.phase == TransferringState:
		r.hotRestart.waiting = append(r.hotRestart.waiting, q)
	default:
		r.submit(q)
	}
}

// submit has the Gateway decide a req. It goes by the client's own time, and may tell repeats by it.
func (r *Machine) submit(q *request) {
	event := q.event.Request
	event.Budget = q.deadline + responseMargin - r.now
	if q.fromPredecessor {
		event.Budget += forwardMargin
	}
	r.decide(&event)
}

// onClientDisconnected books that a client has gone: nothing is sent on for it any longer. It is answered all the
// same, as a client that only ended its sending looks like one that has gone.
func (r *Machine) onClientDisconnected(id RequestID) {
	q := r.requests[id]
	if q == nil || q.answered {
		return
	}
	if q.forwarded {
		r.emit(CancelForwardedRequest{Request: id})
	}
	q.answered = true
	if !q.fromPredecessor {
		r.counters.Left++
		r.pending--
		r.emit(r.localReply(q))
	}
	r.decide(&admission.RequestEnded{Request: id})
	for attempt := range q.attempts { // where fetches may not be called off
		if f := (AttemptID{id, attempt}); r.attempts[f] != nil {
			r.emit(WithdrawAttempt{Attempt: f})
		}
	}
	r.forget(q)
}

// onDeadline answers a req at its deadline if nothing else has.
func (r *Machine) onDeadline(id RequestID) {
	q := r.requests[id]
	if q == nil || q.answered {
		return
	}
	r.counters.Overdue++
	if q.forwarded {
		r.emit(CancelForwardedRequest{Request: id})
	}
	r.respond(q, r.localReply(q))
	r.decide(&admission.RequestEnded{Request: id})
	r.forget(q)
}

// localReply is the answer to a req that ends as it stands: a new try does no harm, or it may have run.
func (r *Machine) localReply(q *request) Respond {
	if q.openAttempts == 0 && !q.mayHaveRun || q.idempotency == admission.Idempotent {
		return Respond{Request: q.id, Kind: Rejected, RetryAfter: r.settings.MaxRetryAfter}
	}
	return Respond{Request: q.id, Kind: Failed}
}

// respond gives a req its final answer. Whoever calls it sees to forget.
func (r *Machine) respond(q *request, a Respond) {
	if q.answered {
		return
	}
	q.answered = true
	a.Request = q.id
	r.sendResponse(q.fromPredecessor, a)
	if q.fromPredecessor {
		return
	}
	r.pending--
	r.countResponse(q.class, a.Kind)
	switch a.Kind {
	case Served:
		r.counters.Served++
	case Rejected:
		r.counters.Refused++
	case Failed:
		r.counters.Failed++
	}
}

// sendResponse sends an answer to who has the client's session.
func (r *Machine) sendResponse(remote bool, a Respond) {
	if remote {
		r.emit(SendForwardedResponse{a})
		return
	}
	r.emit(a)
}

// forget drops a req that is over once none of its fetches is out.
func (r *Machine) forget(q *request) {
	if q.answered && q.openAttempts == 0 {
		delete(r.requests, q.id)
		delete(r.requestsByCallID, q.callID)
	}
}

// onAttemptFinished takes the outcome of a fetch in; one that was given up has had
// its outcome already.
func (r *Machine) onAttemptFinished(ev *AttemptFinished) {
	f := r.attempts[ev.Attempt]
	if f == nil {
		return
	}
	r.counters.Stale += uint64(ev.StaleConns)
	if ev.ResponseInvalid {
		r.counters.Spoilt++
	}
	switch ev.Result {
	case admission.NotSent:
		r.counters.NotSent++
		if ev.StartExpired && f.underLease && r.leases.agent != nil {
			r.leases.agent.RecordLateAction(TaskRecovery)
		}
	case admission.Succeeded:
		r.respond(f.request, Respond{Kind: Served, Response: ev.Response})
	case admission.Errored:
		r.counters.Errored++
	case admission.Rejected:
		r.counters.TurnedAway++
	case admission.Unreachable, admission.ConnectFailed:
		r.counters.Unreachable++
	case admission.ConnectionLost:
		r.counters.Broken++
	}
	r.closeAttempt(ev.Attempt, ev.Result, ev.Report, f.request.answered)
}

// closeAttempt ends a fetch and tells the Gateway of it.
func (r *Machine) closeAttempt(id AttemptID, result admission.Result, report []float64, final bool) {
	f := r.attempts[id]
	delete(r.attempts, id)
	f.request.openAttempts--
	if !f.request.mayHaveRun && !result.NeverRan() {
		f.request.mayHaveRun = true
		r.recordUsage(&f.request.event.Request) // once the state has gone, in case this process serves on
	}
	if r.hotRestart.stateSent {
		r.emit(ReportAttemptFinished{FinishedAttempt{Attempt: id, Backend: f.backend, Result: result, Latency: r.now - f.sentAt, Report: report}})
	}
	r.decide(&admission.AttemptFinished{
		Request: id.Request, Attempt: id.Number, Backend: f.backend, Result: result,
		Latency: r.now - f.sentAt, Final: final || f.request.answered, Report: report,
	})
	r.forget(f.request)
}

// onEndpoints brings the list up to date. What drains, is gone or has started anew
// keeps no connection that a new fetch could use. What is gone is forgotten:
// on most days backends are replaced under new ids, and never come back.
func (r *Machine) onEndpoints(ev *EndpointsUpdated) {
	r.counters.Lists++
	r.generation = ev.Generation
	list := &admission.EndpointList{Kind: ev.Kind}
	named := map[string]bool{}
	for _, e := range ev.Endpoints {
		named[e.ID] = true
		list.Backends = append(list.Backends, e.Backend)
		old := r.backends[e.ID]
		if old != nil && (e.State != admission.Live || e.StartedAt != old.StartedAt || e.Addr != old.Addr) {
			r.emit(CloseBackendConns{Backend: e.ID})
		}
		if e.State == admission.Removed {
			delete(r.backends, e.ID)
			continue
		}
		r.backends[e.ID] = &e
	}
	if ev.Kind == admission.ListComplete || ev.Kind == admission.ListCached {
		var missing []string
		for id := range r.backends {
			if !named[id] {
				missing = append(missing, id)
			}
		}
		slices.Sort(missing) // in the same order every time
		for _, id := range missing {
			delete(r.backends, id)
			r.emit(CloseBackendConns{Backend: id})
		}
	}
	r.decide(list)
}

// reloadConfig has the configuration read, by one reader at a time. It may be asked
// for in any phase: a program on its way out still needs the list.
func (r *Machine) reloadConfig() {
	if r.reloadAgain = r.reloading; !r.reloading && r.phase != Stopped {
		r.reloading = true
		r.emit(ReloadConfig{})
	}
}

// onConfigReloaded moves the watch where the new configuration says. The list stays as
// it is until the new place tells one. A bad file changes nothing.
func (r *Machine) onConfigReloaded(ev *ConfigReloaded) {
	r.reloading = false
	switch {
	case ev.Err != nil:
		r.counters.ReloadsBad++
		r.emit(Log{Text: "kept the configuration that runs: " + ev.Err.Error()})
	case ev.Discovery != r.discoveryAddr:
		r.counters.Reloads++
		r.discoveryAddr = ev.Discovery
		r.emit(WatchEndpoints{Addr: ev.Discovery})
		r.emit(Log{Text: "configuration read again, discovery at " + ev.Discovery})
	default:
		r.counters.Reloads++
		r.emit(Log{Text: "configuration read again, discovery stays"})
	}
	if r.reloadAgain {
		r.reloadConfig()
	}
}

// onPeerMessage hands a datagram on. It may hold anything: what is not one of a peer's
// messages is counted and dropped.
func (r *Machine) onPeerMessage(ev *PeerMessageReceived) {
	switch {
	case lease.IsMessage(ev.Data):
		r.onLeaseMessage(ev)
		return
	case usage.IsMessage(ev.Data):
		r.onUsageMessage(ev)
		return
	case rollingrestart.IsMessage(ev.Data):
		r.onSlotMessage(ev)
		return
	}
	if _, ok := gossip.Parse(ev.Data); !ok || ev.From < 0 || ev.From >= r.settings.Limiters {
		r.counters.PeerBad++
		return
	}
	r.counters.PeerIn++
	r.decide(&admission.PeerMessage{From: ev.From, Data: ev.Data})
}

// decide hands an event to the Gateway and turns its actions into effects. What
// these bring about at once (a fetch that is not sent, one that is called off)
// the Gateway is told after them, as it would be by an edge.
func (r *Machine) decide(ev admission.Event) {
	r.pendingEvents = append(r.pendingEvents, ev)
	if len(r.pendingEvents) > 1 {
		return // the loop below, further up the stack, gets there
	}
	for len(r.pendingEvents) > 0 {
		r.actions = r.controller.Handle(r.now, r.pendingEvents[0], r.actions[:0])
		for _, a := range r.actions {
			r.applyAction(a)
		}
		r.pendingEvents = r.pendingEvents[1:]
	}
	r.pendingEvents = nil
}

func (r *Machine) applyAction(action admission.Action) {
	switch a := action.(type) {
	case admission.StartAttempt:
		r.startAttempt(a)
	case admission.Reject:
		r.endRequest(a.Request, Respond{Kind: Rejected, RetryAfter: a.RetryAfter})
	case admission.Fail:
		r.endRequest(a.Request, Respond{Kind: Failed})
	case admission.CancelAttempt:
		if id := (AttemptID{a.Request, a.Attempt}); r.attempts[id] != nil {
			r.emit(CancelAttempt{Attempt: id})
			r.closeAttempt(id, admission.Canceled, nil, false)
		}
	case admission.SetTimer:
		r.controllerTimerAt = a.At
		r.timers.add(timer{at: a.At, kind: controllerTimer})
	case admission.SendToPeer:
		if r.hotRestart.stateSent {
			return // peers hear the heir
		}
		r.counters.PeerOut++
		r.emit(SendToPeer{Peer: a.Peer, Data: a.Data})
	case admission.ProbeBackend:
		if b := r.backends[a.Backend]; b != nil && b.State == admission.Live && !r.hotRestart.stateSent {
			r.counters.Probes++
			r.emit(ProbeBackend{Backend: b.ID, Addr: b.Addr})
		}
	case admission.PollEndpoints: // discovery is always watched here
	case admission.Log:
		r.emit(Log{Text: a.Text})
	default:
		r.emit(Log{Text: fmt.Sprintf("unknown action %T", a)})
	}
}

// endRequest answers a req as the Gateway wants it answered.
func (r *Machine) endRequest(id RequestID, a Respond) {
	if q := r.requests[id]; q != nil {
		r.respond(q, a)
		r.forget(q)
	}
}

// startAttempt starts a fetch, unless it comes too late or would be one too many; then
// the Gateway hears that it was not sent.
func (r *Machine) startAttempt(a admission.StartAttempt) {
	q, b := r.requests[a.Request], r.backends[a.Backend]
	if q == nil {
		return
	}
	id := AttemptID{q.id, q.attempts}
	q.attempts++
	until := q.deadline
	if a.Deadline > 0 {
		until = min(until, a.Deadline)
	}
	var token uint64
	before, inTime := a.StartBefore, true
	if a.Recovery {
		var until time.Duration
		if token, until, inTime = r.recoveryLease(); before == 0 || until < before {
			before = until
		}
	}
	unfit := b == nil || b.State != admission.Live || b.Addr == ""
	if !inTime || q.answered || until <= r.now || q.attempts > max(r.settings.MaxAttempts, 1) || unfit {
		r.counters.NotSent++
		r.decide(&admission.AttemptFinished{
			Request: q.id, Attempt: id.Number, Backend: a.Backend, Result: admission.NotSent, Final: q.answered,
		})
		return
	}
	r.counters.Fetched++
	if id.Number > 0 {
		r.counters.Retries++
	}
	q.openAttempts++
	r.attempts[id] = &attempt{request: q, backend: b.ID, sentAt: r.now, underLease: a.Recovery}
	r.timers.add(timer{at: until, kind: attemptTimer, id: id})
	if r.hotRestart.stateSent {
		r.emit(ReportAttemptStarted{q.openAttempt(id, b.ID)})
	}
	r.emit(StartAttempt{Attempt: id, Backend: b.ID, Addr: b.Addr, Timeout: until - r.now, Content: q.content, Token: token, StartBefore: before})
}
