package node

import (
	"errors"
	"time"

	"lemongate"
	"lemongate/internal/fetch"
	"lemongate/internal/handover"
	"lemongate/internal/handover/link"
	"lemongate/internal/lease"
	"lemongate/internal/memento"
	"lemongate/internal/reducer"
	"lemongate/internal/rollup"
)

// This file is the form of what two processes of a limiter say to each other, and the one place
// where it is mapped to the reducer's types. Frames are JSON, so that releases that know more fields
// than others understand each other. Kinds and field tags are a format that other releases read.

// linkFormat is the version of the frames. A process that says another is turned away, and waits
// until the address is free.
const linkFormat = 1

// Kinds of frames beside those that the machine speaks of.
const (
	frameBegan uint8 = uint8(handover.NKinds) + iota
	frameEnded
	frameRelay
	frameGave
	frameReply
	frameSession
)

// helloFrame is what a successor says first.
type helloFrame struct {
	Format int    `json:"Format"`
	Name   string `json:"Name"`
	Listen string `json:"Listen"`
	Peers  string `json:"Peers"` // address of the socket for peers
}

// requestFrame is a lemongate.Request.
type requestFrame struct {
	ID       lemongate.RequestID `json:"ID"`
	Class    string              `json:"Class"`
	Plan     string              `json:"Plan"`
	Customer string              `json:"Customer"`
	Units    float64             `json:"Units"`
	Budget   time.Duration       `json:"Budget"`
	First    int                 `json:"First"`
	Spread   int                 `json:"Spread"`
	Retry    bool                `json:"Retry"`
}

// beganFrame tells of an attempt that is out.
type beganFrame struct {
	requestFrame
	CallID  string `json:"CallID"`
	Attempt int    `json:"Attempt"`
	Backend string `json:"Backend"`
	Booked  bool   `json:"Booked"`
}

// endedFrame tells how an attempt ended.
type endedFrame struct {
	Fetch   fetchIDFrame     `json:"Fetch"`
	Backend string           `json:"Backend"`
	Result  lemongate.Result `json:"Result"`
	Latency time.Duration    `json:"Latency"`
	Report  []float64        `json:"Report"`
}

type fetchIDFrame struct {
	Req     reducer.ReqID `json:"Req"`
	Attempt int           `json:"Attempt"`
}

// relayFrame passes a request on to the other process, with its content.
type relayFrame struct {
	requestFrame
	CallID  string        `json:"CallID"`
	Content *contentFrame `json:"Content"`
}

// contentFrame is a fetch.Req.
type contentFrame struct {
	Method string `json:"Method"`
	URI    string `json:"URI"`
	Host   string `json:"Host"`
	CallID string `json:"CallID"`
	Key    string `json:"Key"`
	Type   string `json:"Type"`
	Body   []byte `json:"Body"`
}

// replyFrame is the answer to a request that was passed on.
type replyFrame struct {
	Req        reducer.ReqID      `json:"Req"`
	Kind       reducer.AnswerKind `json:"Kind"`
	RetryAfter time.Duration      `json:"RetryAfter"`
	Reply      *replyContentFrame `json:"Reply"`
}

// replyContentFrame is a fetch.Reply.
type replyContentFrame struct {
	Type string `json:"Type"`
	Body []byte `json:"Body"`
}

// stateFrame is all that goes over with handover.Transfer.
type stateFrame struct {
	Now        time.Duration        `json:"Now"`
	Gate       []byte               `json:"Gate"`
	Entries    []entryFrame         `json:"Entries"`
	Generation int64                `json:"Generation"`
	Source     string               `json:"Source"`
	Last       reducer.ReqID        `json:"Last"`
	Out        []beganFrame         `json:"Out"`
	Use        *rollup.Legacy       `json:"Use"`
	Keepers    []lease.KeeperLegacy `json:"Keepers"`
}

// entryFrame is an entry of the list of backends.
type entryFrame struct {
	ID      string                 `json:"ID"`
	Zone    string                 `json:"Zone"`
	Cell    int                    `json:"Cell"`
	State   lemongate.BackendState `json:"State"`
	Size    float64                `json:"Size"`
	Started time.Duration          `json:"Started"`
	Addr    string                 `json:"Addr"`
}

func newRequestFrame(r lemongate.Request) requestFrame {
	return requestFrame{
		ID: r.ID, Class: r.Class, Plan: r.Plan, Customer: r.Customer, Units: r.Units, Budget: r.Budget,
		First: r.First, Spread: r.Spread, Retry: r.Retry,
	}
}

func (f requestFrame) request() lemongate.Request {
	return lemongate.Request{
		ID: f.ID, Class: f.Class, Plan: f.Plan, Customer: f.Customer, Units: f.Units, Budget: f.Budget,
		First: f.First, Spread: f.Spread, Retry: f.Retry,
	}
}

func newBeganFrame(b reducer.Began) beganFrame {
	return beganFrame{
		requestFrame: newRequestFrame(b.Request), CallID: b.CallID, Attempt: b.Attempt, Backend: b.Backend, Booked: b.Booked,
	}
}

func (f beganFrame) began() reducer.Began {
	return reducer.Began{Request: f.request(), CallID: f.CallID, Attempt: f.Attempt, Backend: f.Backend, Booked: f.Booked}
}

func newEndedFrame(e reducer.Ended) endedFrame {
	return endedFrame{
		Fetch: fetchIDFrame{Req: e.Fetch.Req, Attempt: e.Fetch.Attempt}, Backend: e.Backend, Result: e.Result,
		Latency: e.Latency, Report: e.Report,
	}
}

func (f endedFrame) ended() reducer.Ended {
	return reducer.Ended{
		Fetch: reducer.FetchID{Req: f.Fetch.Req, Attempt: f.Fetch.Attempt}, Backend: f.Backend, Result: f.Result,
		Latency: f.Latency, Report: f.Report,
	}
}

func newRelayFrame(r reducer.Relayed) relayFrame {
	f := relayFrame{requestFrame: newRequestFrame(r.Request), CallID: r.CallID}
	if content, ok := r.Content.(*fetch.Req); ok && content != nil {
		f.Content = &contentFrame{
			Method: content.Method, URI: content.URI, Host: content.Host, CallID: content.CallID, Key: content.Key,
			Type: content.Type, Body: content.Body,
		}
	}
	return f
}

func (f relayFrame) relayed() reducer.Relayed {
	r := reducer.Relayed{Request: f.request(), CallID: f.CallID}
	var content *fetch.Req
	if c := f.Content; c != nil {
		content = &fetch.Req{
			Method: c.Method, URI: c.URI, Host: c.Host, CallID: c.CallID, Key: c.Key, Type: c.Type, Body: c.Body,
		}
	}
	r.Content = content
	return r
}

func newReplyFrame(a reducer.Answer) replyFrame {
	f := replyFrame{Req: a.Req, Kind: a.Kind, RetryAfter: a.RetryAfter}
	if reply, ok := a.Reply.(*fetch.Reply); ok && reply != nil {
		f.Reply = &replyContentFrame{Type: reply.Type, Body: reply.Body}
	}
	return f
}

// answer is an error where an answer of a backend came without its content.
func (f replyFrame) answer() (reducer.Answer, error) {
	a := reducer.Answer{Req: f.Req, Kind: f.Kind, RetryAfter: f.RetryAfter}
	var reply *fetch.Reply
	if f.Reply != nil {
		reply = &fetch.Reply{Type: f.Reply.Type, Body: f.Reply.Body}
	}
	a.Reply = reply
	if reply == nil && f.Kind == reducer.Served {
		return a, errors.New("an answer without content")
	}
	return a, nil
}

func newEntryFrame(e reducer.Entry) entryFrame {
	return entryFrame{
		ID: e.ID, Zone: e.Zone, Cell: e.Cell, State: e.State, Size: e.Size, Started: e.Started, Addr: e.Addr,
	}
}

func (f entryFrame) entry() reducer.Entry {
	return reducer.Entry{
		Backend: lemongate.Backend{ID: f.ID, Zone: f.Zone, Cell: f.Cell, State: f.State, Size: f.Size, Started: f.Started},
		Addr:    f.Addr,
	}
}

func newStateFrame(x reducer.Inherit) stateFrame {
	return stateFrame{
		Now: x.Now, Gate: x.Gate, Entries: memento.List(x.Entries, newEntryFrame), Generation: x.Generation,
		Source: x.Source, Last: x.Last, Out: memento.List(x.Out, newBeganFrame), Use: x.Use, Keepers: x.Keepers,
	}
}

func (f stateFrame) inherit() reducer.Inherit {
	return reducer.Inherit{
		Now: f.Now, Gate: f.Gate, Entries: memento.List(f.Entries, entryFrame.entry), Generation: f.Generation,
		Source: f.Source, Last: f.Last, Out: memento.List(f.Out, beganFrame.began), Use: f.Use, Keepers: f.Keepers,
	}
}

// decode reads a frame as an event. A frame that hands over a client session carries no event.
func decode(f link.Frame) (reducer.Event, error) {
	ev, err := read(f)
	if err != nil {
		return nil, err
	}
	return ev, nil
}

func read(f link.Frame) (reducer.Event, error) {
	switch f.Kind {
	case uint8(handover.Transfer):
		var body stateFrame
		ev := &reducer.KinHeard{Kind: handover.Transfer, Sockets: f.Sockets}
		if codec.Unmarshal(f.Body, &body) == nil {
			inherit := body.inherit()
			ev.Inherit = &inherit
		}
		return ev, nil
	case frameBegan:
		var body beganFrame
		err := codec.Unmarshal(f.Body, &body)
		return &reducer.KinOut{Began: body.began()}, err
	case frameEnded:
		var body endedFrame
		err := codec.Unmarshal(f.Body, &body)
		return &reducer.KinOver{Ended: body.ended()}, err
	case frameRelay:
		var body relayFrame
		err := codec.Unmarshal(f.Body, &body)
		return &reducer.KinAsked{Relayed: body.relayed()}, err
	case frameGave:
		var ev reducer.KinLeft
		err := codec.Unmarshal(f.Body, &ev.Req)
		return ev, err
	case frameReply:
		var body replyFrame
		err := codec.Unmarshal(f.Body, &body)
		answer, incomplete := body.answer()
		return &reducer.KinAnswered{Answer: answer}, errors.Join(err, incomplete)
	case frameSession:
		return nil, nil
	}
	if f.Kind >= uint8(handover.NKinds) {
		return nil, errors.New("unknown")
	}
	return &reducer.KinHeard{Kind: handover.Kind(f.Kind)}, nil
}
