package eventloop

import (
	"errors"
	"time"

	"lemongate/internal/admission"
	"lemongate/internal/core"
	"lemongate/internal/hotrestart"
	"lemongate/internal/hotrestart/link"
	"lemongate/internal/lease"
	"lemongate/internal/memento"
	"lemongate/internal/upstream"
	"lemongate/internal/usage"
)

// This file is the form of what two processes of a limiter say to each other, and the one place
// where it is mapped to the reducer's types. Frames are JSON, so that releases that know more fields
// than others understand each other. Kinds and field tags are a format that other releases read.

// linkFormat is the version of the frames. A process that says another is turned away, and waits
// until the address is free.
const linkFormat = 1

// Kinds of frames beside those that the machine speaks of.
const (
	frameBegan uint8 = uint8(hotrestart.NumKinds) + iota
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
	ID       admission.RequestID `json:"ID"`
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
	Result  admission.Result `json:"Result"`
	Latency time.Duration    `json:"Latency"`
	Report  []float64        `json:"Report"`
}

type fetchIDFrame struct {
	Req     core.RequestID `json:"Req"`
	Attempt int            `json:"Attempt"`
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
	Req        core.RequestID     `json:"Req"`
	Kind       core.ResponseKind  `json:"Kind"`
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
	Now        time.Duration         `json:"Now"`
	Gate       []byte                `json:"Gate"`
	Entries    []entryFrame          `json:"Entries"`
	Generation int64                 `json:"Generation"`
	Source     string                `json:"Source"`
	Last       core.RequestID        `json:"Last"`
	Out        []beganFrame          `json:"Out"`
	Use        *usage.RecorderState  `json:"Use"`
	Keepers    []lease.AcceptorState `json:"Keepers"`
}

// entryFrame is an entry of the list of backends.
type entryFrame struct {
	ID      string                 `json:"ID"`
	Zone    string                 `json:"Zone"`
	Cell    int                    `json:"Cell"`
	State   admission.BackendState `json:"State"`
	Size    float64                `json:"Size"`
	Started time.Duration          `json:"Started"`
	Addr    string                 `json:"Addr"`
}

func newRequestFrame(r admission.Request) requestFrame {
	return requestFrame{
		ID: r.ID, Class: r.Class, Plan: r.Plan, Customer: r.Customer, Units: r.Units, Budget: r.Budget,
		First: r.FirstLimiter, Spread: r.SetSize, Retry: r.IsRetry,
	}
}

func (f requestFrame) request() admission.Request {
	return admission.Request{
		ID: f.ID, Class: f.Class, Plan: f.Plan, Customer: f.Customer, Units: f.Units, Budget: f.Budget,
		FirstLimiter: f.First, SetSize: f.Spread, IsRetry: f.Retry,
	}
}

func newBeganFrame(b core.OpenAttempt) beganFrame {
	return beganFrame{
		requestFrame: newRequestFrame(b.Request), CallID: b.CallID, Attempt: b.Attempt, Backend: b.Backend, Booked: b.UsageRecorded,
	}
}

func (f beganFrame) began() core.OpenAttempt {
	return core.OpenAttempt{Request: f.request(), CallID: f.CallID, Attempt: f.Attempt, Backend: f.Backend, UsageRecorded: f.Booked}
}

func newEndedFrame(e core.FinishedAttempt) endedFrame {
	return endedFrame{
		Fetch: fetchIDFrame{Req: e.Attempt.Request, Attempt: e.Attempt.Number}, Backend: e.Backend, Result: e.Result,
		Latency: e.Latency, Report: e.Report,
	}
}

func (f endedFrame) ended() core.FinishedAttempt {
	return core.FinishedAttempt{
		Attempt: core.AttemptID{Request: f.Fetch.Req, Number: f.Fetch.Attempt}, Backend: f.Backend, Result: f.Result,
		Latency: f.Latency, Report: f.Report,
	}
}

func newRelayFrame(r core.ForwardedRequest) relayFrame {
	f := relayFrame{requestFrame: newRequestFrame(r.Request), CallID: r.CallID}
	if content, ok := r.Content.(*upstream.Request); ok && content != nil {
		f.Content = &contentFrame{
			Method: content.Method, URI: content.URI, Host: content.Host, CallID: content.CallID, Key: content.Key,
			Type: content.Type, Body: content.Body,
		}
	}
	return f
}

func (f relayFrame) relayed() core.ForwardedRequest {
	r := core.ForwardedRequest{Request: f.request(), CallID: f.CallID}
	var content *upstream.Request
	if c := f.Content; c != nil {
		content = &upstream.Request{
			Method: c.Method, URI: c.URI, Host: c.Host, CallID: c.CallID, Key: c.Key, Type: c.Type, Body: c.Body,
		}
	}
	r.Content = content
	return r
}

func newReplyFrame(a core.Respond) replyFrame {
	f := replyFrame{Req: a.Request, Kind: a.Kind, RetryAfter: a.RetryAfter}
	if reply, ok := a.Response.(*upstream.Response); ok && reply != nil {
		f.Reply = &replyContentFrame{Type: reply.Type, Body: reply.Body}
	}
	return f
}

// answer is an error where an answer of a backend came without its content.
func (f replyFrame) answer() (core.Respond, error) {
	a := core.Respond{Request: f.Req, Kind: f.Kind, RetryAfter: f.RetryAfter}
	var reply *upstream.Response
	if f.Reply != nil {
		reply = &upstream.Response{Type: f.Reply.Type, Body: f.Reply.Body}
	}
	a.Response = reply
	if reply == nil && f.Kind == core.Served {
		return a, errors.New("an answer without content")
	}
	return a, nil
}

func newEntryFrame(e core.Endpoint) entryFrame {
	return entryFrame{
		ID: e.ID, Zone: e.Zone, Cell: e.Cell, State: e.State, Size: e.RelativeCapacity, Started: e.StartedAt, Addr: e.Addr,
	}
}

func (f entryFrame) entry() core.Endpoint {
	return core.Endpoint{
		Backend: admission.Backend{ID: f.ID, Zone: f.Zone, Cell: f.Cell, State: f.State, RelativeCapacity: f.Size, StartedAt: f.Started},
		Addr:    f.Addr,
	}
}

func newStateFrame(x core.HandoverState) stateFrame {
	return stateFrame{
		Now: x.Now, Gate: x.Controller, Entries: memento.List(x.Endpoints, newEntryFrame), Generation: x.Generation,
		Source: x.Source, Last: x.LastRequest, Out: memento.List(x.OpenAttempts, newBeganFrame), Use: x.Usage, Keepers: x.LeaseAcceptors,
	}
}

func (f stateFrame) inherit() core.HandoverState {
	return core.HandoverState{
		Now: f.Now, Controller: f.Gate, Endpoints: memento.List(f.Entries, entryFrame.entry), Generation: f.Generation,
		Source: f.Source, LastRequest: f.Last, OpenAttempts: memento.List(f.Out, beganFrame.began), Usage: f.Use, LeaseAcceptors: f.Keepers,
	}
}

// decode reads a frame as an event. A frame that hands over a client session carries no event.
func decode(f link.Frame) (core.Event, error) {
	ev, err := read(f)
	if err != nil {
		return nil, err
	}
	return ev, nil
}

func read(f link.Frame) (core.Event, error) {
	switch f.Kind {
	case uint8(hotrestart.Transfer):
		var body stateFrame
		ev := &core.LinkMessageReceived{Kind: hotrestart.Transfer, Sockets: f.Sockets}
		if codec.Unmarshal(f.Body, &body) == nil {
			inherit := body.inherit()
			ev.State = &inherit
		}
		return ev, nil
	case frameBegan:
		var body beganFrame
		err := codec.Unmarshal(f.Body, &body)
		return &core.PeerAttemptStarted{OpenAttempt: body.began()}, err
	case frameEnded:
		var body endedFrame
		err := codec.Unmarshal(f.Body, &body)
		return &core.PeerAttemptFinished{FinishedAttempt: body.ended()}, err
	case frameRelay:
		var body relayFrame
		err := codec.Unmarshal(f.Body, &body)
		return &core.ForwardedRequestReceived{ForwardedRequest: body.relayed()}, err
	case frameGave:
		var ev core.ForwardedRequestCanceled
		err := codec.Unmarshal(f.Body, &ev.Request)
		return ev, err
	case frameReply:
		var body replyFrame
		err := codec.Unmarshal(f.Body, &body)
		answer, incomplete := body.answer()
		return &core.ForwardedResponseReceived{Respond: answer}, errors.Join(err, incomplete)
	case frameSession:
		return nil, nil
	}
	if f.Kind >= uint8(hotrestart.NumKinds) {
		return nil, errors.New("unknown")
	}
	return &core.LinkMessageReceived{Kind: hotrestart.Kind(f.Kind)}, nil
}
