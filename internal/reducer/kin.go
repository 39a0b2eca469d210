package reducer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lemongate"
	"lemongate/internal/handover"
	"lemongate/internal/lease"
	"lemongate/internal/rollup"
)

// This file is the reducer's side of a takeover: two processes of one limiter, of which one
// admits. See internal/handover for who does when. What the elder has open stays with it to
// its final answer; what comes to the elder after its yield is passed on (relayed), decided
// by the heir and answered by the elder.

// relayMargin is how much earlier than its client wants it the heir answers a relayed req,
// so that the answer is with the elder before the elder gives up.
const relayMargin = 20 * time.Millisecond

// Inherit is the state that goes over. Times are of the elder's clock, which the heir goes by.
type Inherit struct {
	Now        time.Duration
	Gate       []byte // Gateway.Snapshot; empty where there is none, or none that could be packed
	Entries    []Entry
	Generation int64  // of the list
	Source     string // where discovery is watched
	Last       ReqID  // the heir's own reqs are numbered beyond this
	Out        []Began
	Use        *rollup.Legacy       // what was sent on; nil for none
	Keepers    []lease.KeeperLegacy // what this limiter keeps of leases
}

// Began tells of an attempt that the elder has out.
type Began struct {
	lemongate.Request
	CallID  string
	Attempt int
	Backend string
	Booked  bool // its units are in the elder's book
}

// An Ended tells how such an attempt ended.
type Ended struct {
	Fetch   FetchID
	Backend string
	Result  lemongate.Result
	Latency time.Duration
	Report  []float64
}

// A Relayed is a req that came to the elder after its yield.
type Relayed struct {
	lemongate.Request // its Budget is what is left
	CallID            string
	Content           Content
}

// Events of a takeover. All come from the link to the other process.
type (
	// KinMet tells that a successor has said Hello on a link. Fits is false where it is no
	// successor of this process, and Why says so.
	KinMet struct {
		Link Content
		Why  string
	}
	// KinHeard tells what the other process said, and what came with it: Inherit with
	// Transfer, and Sockets for the edges.
	KinHeard struct {
		Kind    handover.Kind
		Inherit *Inherit
		Sockets Content
	}
	// KinGone tells that the other process is dead or has hung up. Epoch is what this
	// limiter's next start would have.
	KinGone struct{ Epoch uint32 }
	// KinOut and KinOver follow the elder's attempts at the heir.
	KinOut  struct{ Began }
	KinOver struct{ Ended }
	// KinAsked brings a relayed req to the heir, KinLeft tells that its client has gone.
	KinAsked struct{ Relayed }
	KinLeft  struct{ Req ReqID }
	// KinAnswered brings the heir's answer to the elder.
	KinAnswered struct{ Answer }
)

func (*KinMet) event()      {}
func (*KinHeard) event()    {}
func (KinGone) event()      {}
func (*KinOut) event()      {}
func (*KinOver) event()     {}
func (*KinAsked) event()    {}
func (KinLeft) event()      {}
func (*KinAnswered) event() {}

// Effects of a takeover.
type (
	// KinSeek looks for a process that runs already, and says Hello.
	KinSeek struct{}
	// KinAccept goes on with a successor; KinDeny turns one away.
	KinAccept struct{ Link Content }
	KinDeny   struct {
		Link Content
		Why  string
	}
	// KinSend says something; KinTransfer does so with the state and the sockets.
	KinSend     struct{ Kind handover.Kind }
	KinTransfer struct{ Inherit Inherit }
	// KinHang closes the link after what was sent, KinFence ends the other process.
	KinHang  struct{}
	KinFence struct{}
	// KinBegan, KinEnded, KinRelay, KinGave and KinReply tell the other process.
	KinBegan struct{ Began }
	KinEnded struct{ Ended }
	KinRelay struct{ Relayed }
	KinGave  struct{ Req ReqID } // its client has gone, or it is answered
	KinReply struct{ Answer }
	// Open begins a start with nothing from an elder. Wait means that one may still hold
	// the address for a while.
	Open struct{ Wait bool }
	// TakeOver begins to serve on the sockets that came, from the list as it was.
	TakeOver struct {
		Sockets    Content
		Now        time.Duration
		Source     string
		Generation int64
		Last       ReqID
	}
	// Pause stops accepting and listening to peers; Unpause goes on with both.
	Pause   struct{}
	Unpause struct{}
	// MoveSessions hands the client sessions between reqs to the heir, now and as they get there.
	MoveSessions struct{}
	// Takes sets whether this process, of the two, takes clients.
	Takes struct{ Is bool }
	// Share sets which part of the platform's limits this process may use.
	Share struct{ Part float64 }
	// Await lets a successor find this process.
	Await struct{}
	// Quit ends the program, which never served, with an error.
	Quit struct{ Why string }
)

func (KinSeek) effect()      {}
func (KinAccept) effect()    {}
func (KinDeny) effect()      {}
func (KinSend) effect()      {}
func (KinTransfer) effect()  {}
func (KinHang) effect()      {}
func (KinFence) effect()     {}
func (KinBegan) effect()     {}
func (KinEnded) effect()     {}
func (KinRelay) effect()     {}
func (KinGave) effect()      {}
func (KinReply) effect()     {}
func (Open) effect()         {}
func (TakeOver) effect()     {}
func (Pause) effect()        {}
func (Unpause) effect()      {}
func (MoveSessions) effect() {}
func (Takes) effect()        {}
func (Share) effect()        {}
func (Await) effect()        {}
func (Quit) effect()         {}

// kin is what a reducer remembers of a takeover.
type kin struct {
	*handover.Machine
	config  Config
	yielded bool // what comes in is the heir's
	mute    bool // the state has gone: peers hear the heir alone, and that one hears of all attempts
	parked  []*req
	inherit *Inherit // came, and is not used yet
	sockets Content
	adopted map[FetchID]*Began // the elder's attempts
	due     time.Duration      // of the timer that stands
	ended   bool               // SIGTERM came
	keepers []lease.KeeperLegacy
}

// kinEvent takes in an event of a takeover, and tells whether it was one.
func (r *Reducer) kinEvent(ev Event) bool {
	switch ev := ev.(type) {
	case *KinMet:
		r.kinMet(ev)
	case *KinHeard:
		if ev.Kind == handover.Transfer {
			r.kin.inherit, r.kin.sockets = ev.Inherit, ev.Sockets
		}
		r.kinDo(r.kin.Heard(r.now, ev.Kind))
	case KinGone:
		r.kinGone(ev)
	case *KinOut:
		r.adopt(&ev.Began)
	case *KinOver:
		r.disown(&ev.Ended)
	case *KinAsked:
		if r.phase >= Serving {
			r.arrived(&Arrived{At: r.now, Request: ev.Request, CallID: ev.CallID, Content: ev.Content}, true)
		}
	case KinLeft:
		r.left(ev.Req)
	case *KinAnswered:
		if q := r.reqs[ev.Req]; q != nil && q.relayed {
			r.answer(q, ev.Answer)
			r.forget(q)
		}
	default:
		return false
	}
	return true
}

func (r *Reducer) kinMet(ev *KinMet) {
	why := ev.Why
	if why == "" && r.phase != Serving {
		why = "this process is " + r.phase.String()
	}
	if why == "" {
		if effects, ok := r.kin.Met(r.now); ok {
			r.do(Log{Text: "a successor gets ready"})
			r.do(KinAccept{Link: ev.Link})
			r.kinDo(effects)
			return
		}
		why = "another takeover is under way"
	}
	r.do(KinDeny{Link: ev.Link, Why: why})
}

// kinGone tells the machine, and ends what hung on the other process.
func (r *Reducer) kinGone(ev KinGone) {
	r.config.Epoch = ev.Epoch
	r.kinDo(r.kin.Gone(r.now))
	for id, b := range r.kin.adopted { // an elder's: it is dead, and what it had out with it
		r.disown(&Ended{Fetch: id, Backend: b.Backend, Result: lemongate.Canceled})
	}
}

// kinDo carries out what the machine wants.
func (r *Reducer) kinDo(effects []handover.Effect) {
	for _, e := range append([]handover.Effect(nil), effects...) {
		switch e := e.(type) {
		case handover.Send:
			if e.Kind == handover.Transfer {
				r.do(KinTransfer{Inherit: r.pack()})
			} else {
				r.do(KinSend{Kind: e.Kind})
			}
		case handover.Stop:
			r.enter(Handing)
		case handover.Resume:
			r.resume(e.Renew)
		case handover.Yield:
			r.enter(Handed)
		case handover.Own:
			r.own()
		case handover.Single:
			r.do(Share{Part: 1})
			r.do(Await{})
		case handover.Conclude:
			r.do(Log{Text: "the successor serves for good; its longest silence was " + r.kin.Silence().Round(time.Millisecond).String()})
			if r.phase < Closing {
				r.enter(Closing)
			}
		case handover.Start:
			r.begin(e.Wait)
		case handover.Seek:
			r.do(KinSeek{})
		case handover.Fence:
			r.do(Log{Text: "the other process hangs, and is ended"})
			r.do(KinFence{})
		case handover.Hang:
			r.do(KinHang{})
		case handover.Quit:
			r.do(Quit{Why: e.Why})
		}
	}
}

// halt ends admitting: what has not been sent on waits for whoever admits next, and gives
// back what it holds of its quota.
func (r *Reducer) halt() {
	r.unlend()
	r.do(Pause{})
	for _, q := range r.order() {
		if !q.answered && q.attempts == 0 {
			r.tell(&lemongate.Gone{Request: q.id})
			r.kin.parked = append(r.kin.parked, q)
		}
	}
}

// order gives the reqs in the order in which they came.
func (r *Reducer) order() (list []*req) {
	for _, id := range slices.Sorted(maps.Keys(r.reqs)) {
		list = append(list, r.reqs[id])
	}
	return list
}

// pack words the state for the heir.
func (r *Reducer) pack() Inherit {
	r.kin.mute = true
	x := Inherit{Now: r.now, Generation: r.generation, Source: r.source, Last: r.last}
	x.Keepers, r.kin.keepers = r.kin.keepers, nil
	if r.roll.book != nil {
		x.Use = r.roll.book.Legacy()
	}
	var err error
	if x.Gate, err = r.gate.Snapshot(); err != nil {
		r.do(Log{Text: "the heir starts with no state: " + err.Error()})
	}
	for _, id := range slices.Sorted(maps.Keys(r.backends)) {
		x.Entries = append(x.Entries, *r.backends[id])
	}
	for _, id := range slices.SortedFunc(maps.Keys(r.fetches), compareFetchIDs) {
		f := r.fetches[id]
		x.Out = append(x.Out, f.req.began(id, f.backend))
	}
	return x
}

// compareFetchIDs orders attempts by request, then by attempt number.
func compareFetchIDs(a, b FetchID) int {
	return cmp.Or(cmp.Compare(a.Req, b.Req), cmp.Compare(a.Attempt, b.Attempt))
}

func (q *req) began(id FetchID, backend string) Began {
	return Began{Request: q.event.Request, CallID: q.callID, Attempt: id.Attempt, Backend: backend, Booked: q.maybe}
}

// yield hands over what waited, and all that comes from now on. Client sessions stay: with an
// heir that hangs or dies in its trial all reqs on them would be lost.
func (r *Reducer) yield() {
	r.kin.yielded = true
	r.do(Takes{Is: false})
	r.do(Share{Part: 0.5})
	for _, q := range r.kin.parked {
		r.relay(q)
	}
	r.kin.parked = nil
}

// relay has the heir decide a req. Whether it runs there is not known here until its answer.
func (r *Reducer) relay(q *req) {
	if q.answered {
		return
	}
	q.relayed, q.maybe = true, true
	ev := q.event.Request
	ev.Budget = q.deadline + answerMargin - r.now
	r.do(KinRelay{Relayed{Request: ev, CallID: q.callID, Content: q.content}})
}

// resume admits again. What the heir was to decide is answered: nobody knows whether it ran.
func (r *Reducer) resume(renew bool) {
	r.kin.yielded, r.kin.mute = false, false
	r.do(Share{Part: 1})
	r.do(Unpause{})
	r.do(Takes{Is: true})
	r.phase = Serving
	r.lend()
	r.do(Log{Text: "this process serves on"})
	if renew {
		if r.roll.book != nil {
			r.roll.book.Renew(r.config.Epoch)
		}
		r.tell(lemongate.Renewed{Epoch: r.config.Epoch})
		for _, q := range r.order() {
			if q.relayed && !q.answered {
				r.overdue(q.id)
				r.count.Overdue-- // not for want of time
			}
		}
	}
	for _, q := range r.kin.parked {
		if !q.answered {
			r.ask(q)
		}
	}
	r.kin.parked = nil
	if r.kin.ended {
		r.kin.Told(r.now)
		r.enter(Draining)
	}
}

// own begins to admit by what the elder sent.
func (r *Reducer) own() {
	x := r.kin.inherit
	r.kin.inherit = nil
	if x == nil { // it could not be read
		x = &Inherit{Now: r.now}
	}
	if x.Source == "" {
		x.Source = r.source
	}
	if len(x.Entries) == 0 {
		x.Entries, x.Generation = r.config.Known, r.config.Generation
	}
	r.now = max(r.now, x.Now)
	r.leases.born = r.now
	if r.roll.book != nil {
		r.roll.book.Inherit(x.Use)
	}
	r.source, r.generation, r.last = x.Source, x.Generation, x.Last+firstBeyond
	gate, err := lemongate.Resume(r.config.Settings, r.config.Seed, x.Gate)
	if err == nil {
		r.gate = gate
		for _, e := range x.Entries {
			r.backends[e.ID] = &e
		}
		r.tell(&lemongate.Timer{Token: "beat"})
	} else {
		r.do(Log{Text: "took over without the state: " + err.Error()})
		r.listed(&Listed{Kind: lemongate.ListCached, Entries: x.Entries, Generation: x.Generation})
	}
	for i := range x.Out {
		r.adopt(&x.Out[i])
	}
	r.do(Share{Part: 0.5})
	r.do(TakeOver{Sockets: r.kin.sockets, Now: x.Now, Source: x.Source, Generation: x.Generation, Last: r.last})
	r.kin.sockets = nil
	r.lend()
	if r.leases.agent != nil {
		r.leases.agent.Inherit(x.Keepers)
	}
	r.enter(Serving)
	r.do(Takes{Is: true})
}

// firstBeyond is how far the numbers of an heir's reqs are from those that its elder may
// still give.
const firstBeyond = 1 << 32

// begin starts with nothing from an elder.
func (r *Reducer) begin(wait bool) {
	r.do(Open{Wait: wait})
	r.do(Await{})
	settle := settleWithin
	if len(r.config.Known) > 0 {
		settle = settleKnown
	}
	r.phase = Starting
	r.timers.add(timer{at: r.now + settle, kind: settleTimer})
	r.generation = r.config.Generation
	r.listed(&Listed{Kind: lemongate.ListCached, Entries: r.config.Known, Generation: r.config.Generation})
	r.lend()
}

// adopt books an attempt of the elder's.
func (r *Reducer) adopt(b *Began) {
	if x := r.kin.inherit; x != nil { // not used yet
		x.Out = append(x.Out, *b)
		return
	}
	r.kin.adopted[FetchID{b.ID, b.Attempt}] = b
	if b.CallID != "" {
		r.calls[b.CallID] = b.ID
	}
	r.tell(&lemongate.Adopted{Request: b.Request, Attempt: b.Attempt, Backend: b.Backend})
}

// disown books its end.
func (r *Reducer) disown(e *Ended) {
	if x := r.kin.inherit; x != nil {
		x.Out = slices.DeleteFunc(x.Out, func(b Began) bool {
			if (FetchID{b.ID, b.Attempt}) != e.Fetch {
				return false
			}
			if x.Use != nil && !b.Booked && !e.Result.NeverRan() {
				x.Use.Add(r.useKey(&b.Request), b.Units)
			}
			return true
		})
	}
	b := r.kin.adopted[e.Fetch]
	if b == nil {
		return
	}
	delete(r.kin.adopted, e.Fetch)
	if !b.Booked && !e.Result.NeverRan() {
		r.bookUse(&b.Request)
	}
	if r.calls[b.CallID] == b.ID {
		delete(r.calls, b.CallID)
	}
	r.tell(&lemongate.Outcome{
		Request: e.Fetch.Req, Attempt: e.Fetch.Attempt, Backend: e.Backend, Result: e.Result, Latency: e.Latency,
		Final: true, Report: e.Report,
	})
}

// kinTimer keeps a timer for what the machine has due.
func (r *Reducer) kinTimer() {
	if at, ok := r.kin.Due(); ok && at != r.kin.due {
		r.kin.due = at
		r.timers.add(timer{at: at, kind: kinTimer})
	}
}
