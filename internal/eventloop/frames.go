package eventloop

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	jsoniter "github.com/json-iterator/go"

	"lemongate/internal/admission"
	"lemongate/internal/core"
	"lemongate/internal/hotrestart"
	"lemongate/internal/hotrestart/link"
	"lemongate/internal/lease"
	"lemongate/internal/memento"
	"lemongate/internal/upstream"
	"lemongate/internal/usage"
)

// This file defines the format of the frames that the two processes of a limiter exchange, and is the only place
// that maps it to the types of package core. Bodies are JSON, so that releases whose frames have different fields
// understand each other. Kinds and field tags are part of a format that other releases read.

// frameFormat is the version of the format. A successor with another version is denied, and starts when the
// listening address is free.
const frameFormat = 1

// Kinds of frames, in addition to those of package hotrestart.
const (
	frameAttemptStarted uint8 = uint8(hotrestart.NumKinds) + iota
	frameAttemptFinished
	frameForwardedRequest
	frameCanceledRequest // the body is the request's ID
	frameForwardedResponse
	frameClientConn         // has no body, and carries the connection's socket
	frameInheritedUsageSent // has no body; releases up to 0.9.0 log it as unknown
	frameRequestEnded       // the body is the request's ID; releases up to 0.9.1 log it as unknown
)

var (
	errUnknownKind     = errors.New("unknown kind of frame")
	errMissingResponse = errors.New("frame of a backend's response has no content")
)

// frameCodec encodes and decodes the bodies of frames.
var frameCodec = jsoniter.Config{CaseSensitive: true}.Froze()

// initTransferCodecs makes the codecs analyze the types of a handover state in advance. Otherwise they would do so
// in a hot restart, when the state is encoded or decoded and no process admits requests.
func initTransferCodecs() {
	admission.PrepareSnapshots()
	body, _ := frameCodec.Marshal(newStateFrame(core.HandoverState{})) // an empty state can be encoded
	_ = decodeTransfer(link.Frame{Body: body})                         // the decoded state is empty
}

// helloFrame is the body of Hello. It identifies the successor.
type helloFrame struct {
	Format int    `json:"Format"`
	Name   string `json:"Name"`
	Listen string `json:"Listen"`
	Peers  string `json:"Peers"` // listening address for peers
}

// mismatch returns why the process that sent f cannot be the successor of this one, or "" if it can.
func (f helloFrame) mismatch(own helloFrame) string {
	switch {
	case f.Format != own.Format:
		return fmt.Sprintf("speaks format %d, not %d", f.Format, own.Format)
	case f != own:
		return "is another limiter, or listens elsewhere"
	}
	return ""
}

// requestFrame encodes an admission.Request.
type requestFrame struct {
	ID           admission.RequestID `json:"ID"`
	Class        string              `json:"Class"`
	Plan         string              `json:"Plan"`
	Customer     string              `json:"Customer"`
	Units        float64             `json:"Units"`
	Budget       time.Duration       `json:"Budget"`
	FirstLimiter int                 `json:"First"`
	SetSize      int                 `json:"Spread"`
	IsRetry      bool                `json:"Retry"`
}

// attemptStartedFrame encodes a core.OpenAttempt.
type attemptStartedFrame struct {
	requestFrame
	CallID        string `json:"CallID"`
	Attempt       int    `json:"Attempt"`
	Backend       string `json:"Backend"`
	UsageRecorded bool   `json:"Booked"`
}

// attemptFinishedFrame encodes a core.FinishedAttempt.
type attemptFinishedFrame struct {
	Attempt attemptIDFrame   `json:"Fetch"`
	Backend string           `json:"Backend"`
	Result  admission.Result `json:"Result"`
	Latency time.Duration    `json:"Latency"`
	Report  []float64        `json:"Report"`
}

// attemptIDFrame encodes a core.AttemptID.
type attemptIDFrame struct {
	Request core.RequestID `json:"Req"`
	Number  int            `json:"Attempt"`
}

// forwardedRequestFrame encodes a core.ForwardedRequest.
type forwardedRequestFrame struct {
	requestFrame
	CallID  string               `json:"CallID"`
	Content *requestContentFrame `json:"Content"`
}

// requestContentFrame encodes an upstream.Request.
type requestContentFrame struct {
	Method string `json:"Method"`
	URI    string `json:"URI"`
	Host   string `json:"Host"`
	CallID string `json:"CallID"`
	Key    string `json:"Key"`
	Type   string `json:"Type"`
	Body   []byte `json:"Body"`
}

// forwardedResponseFrame encodes a core.Respond.
type forwardedResponseFrame struct {
	Request    core.RequestID        `json:"Req"`
	Kind       core.ResponseKind     `json:"Kind"`
	RetryAfter time.Duration         `json:"RetryAfter"`
	Content    *responseContentFrame `json:"Reply"`
}

// responseContentFrame encodes an upstream.Response.
type responseContentFrame struct {
	Type string `json:"Type"`
	Body []byte `json:"Body"`
}

// stateFrame encodes a core.HandoverState. It is the body of Transfer.
type stateFrame struct {
	Now            time.Duration         `json:"Now"`
	Controller     []byte                `json:"Gate"`
	Endpoints      []endpointFrame       `json:"Entries"`
	Generation     int64                 `json:"Generation"`
	Discovery      string                `json:"Source"`
	LastRequest    core.RequestID        `json:"Last"`
	OpenAttempts   []attemptStartedFrame `json:"Out"`
	Usage          *usage.RecorderState  `json:"Use"`
	LeaseAcceptors []lease.AcceptorState `json:"Keepers"`
	UsedCallIDs    usedCallIDsFrame      `json:"UsedIDs,omitempty" since:"0.9.5"`
}

// usedCallIDsFrame encodes a list of core.UsedCallID. It is binary, as the list may be long and nobody admits requests while it
// is transferred.
type usedCallIDsFrame []byte

// usedCallIDBytes is the length of an ID in usedCallIDsFrame.
const usedCallIDBytes = len(core.CallIDHash{}) + 8

// endpointFrame encodes a core.Endpoint.
type endpointFrame struct {
	ID               string                 `json:"ID"`
	Zone             string                 `json:"Zone"`
	Cell             int                    `json:"Cell"`
	State            admission.BackendState `json:"State"`
	RelativeCapacity float64                `json:"Size"`
	StartedAt        time.Duration          `json:"Started"`
	Addr             string                 `json:"Addr"`
}

func newRequestFrame(r admission.Request) requestFrame {
	return requestFrame{
		ID:           r.ID,
		Class:        r.Class,
		Plan:         r.Plan,
		Customer:     r.Customer,
		Units:        r.Units,
		Budget:       r.Budget,
		FirstLimiter: r.FirstLimiter,
		SetSize:      r.SetSize,
		IsRetry:      r.IsRetry,
	}
}

func (f requestFrame) request() admission.Request {
	return admission.Request{
		ID:           f.ID,
		Class:        f.Class,
		Plan:         f.Plan,
		Customer:     f.Customer,
		Units:        f.Units,
		Budget:       f.Budget,
		FirstLimiter: f.FirstLimiter,
		SetSize:      f.SetSize,
		IsRetry:      f.IsRetry,
	}
}

func newAttemptStartedFrame(a core.OpenAttempt) attemptStartedFrame {
	return attemptStartedFrame{
		requestFrame:  newRequestFrame(a.Request),
		CallID:        a.CallID,
		Attempt:       a.Attempt,
		Backend:       a.Backend,
		UsageRecorded: a.UsageRecorded,
	}
}

func (f attemptStartedFrame) attempt() core.OpenAttempt {
	return core.OpenAttempt{
		Request:       f.request(),
		CallID:        f.CallID,
		Attempt:       f.Attempt,
		Backend:       f.Backend,
		UsageRecorded: f.UsageRecorded,
	}
}

func newAttemptFinishedFrame(a core.FinishedAttempt) attemptFinishedFrame {
	return attemptFinishedFrame{
		Attempt: attemptIDFrame{Request: a.Attempt.Request, Number: a.Attempt.Number},
		Backend: a.Backend,
		Result:  a.Result,
		Latency: a.Latency,
		Report:  a.Report,
	}
}

func (f attemptFinishedFrame) attempt() core.FinishedAttempt {
	return core.FinishedAttempt{
		Attempt: core.AttemptID{Request: f.Attempt.Request, Number: f.Attempt.Number},
		Backend: f.Backend,
		Result:  f.Result,
		Latency: f.Latency,
		Report:  f.Report,
	}
}

func newForwardedRequestFrame(r core.ForwardedRequest) forwardedRequestFrame {
	f := forwardedRequestFrame{requestFrame: newRequestFrame(r.Request), CallID: r.CallID}
	if content, ok := r.Content.(*upstream.Request); ok && content != nil {
		f.Content = newRequestContentFrame(content)
	}
	return f
}

func (f forwardedRequestFrame) forwardedRequest() core.ForwardedRequest {
	return core.ForwardedRequest{Request: f.request(), CallID: f.CallID, Content: f.Content.content()}
}

func newRequestContentFrame(r *upstream.Request) *requestContentFrame {
	return &requestContentFrame{
		Method: r.Method,
		URI:    r.URI,
		Host:   r.Host,
		CallID: r.CallID,
		Key:    r.IdempotencyKey,
		Type:   r.ContentType,
		Body:   r.Body,
	}
}

// content returns the content of a request, or nil if it has none.
func (f *requestContentFrame) content() *upstream.Request {
	if f == nil {
		return nil
	}
	return &upstream.Request{
		Method:         f.Method,
		URI:            f.URI,
		Host:           f.Host,
		CallID:         f.CallID,
		IdempotencyKey: f.Key,
		ContentType:    f.Type,
		Body:           f.Body,
	}
}

func newForwardedResponseFrame(r core.Respond) forwardedResponseFrame {
	f := forwardedResponseFrame{Request: r.Request, Kind: r.Kind, RetryAfter: r.RetryAfter}
	if content, ok := r.Response.(*upstream.Response); ok && content != nil {
		f.Content = &responseContentFrame{Type: content.ContentType, Body: content.Body}
	}
	return f
}

// respond returns the response. The error is errMissingResponse if a backend's response has no content.
func (f forwardedResponseFrame) respond() (core.Respond, error) {
	r := core.Respond{Request: f.Request, Kind: f.Kind, RetryAfter: f.RetryAfter, Response: f.Content.content()}
	if f.Content == nil && f.Kind == core.Served {
		return r, errMissingResponse
	}
	return r, nil
}

// content returns the content of a response, or nil if it has none.
func (f *responseContentFrame) content() *upstream.Response {
	if f == nil {
		return nil
	}
	return &upstream.Response{ContentType: f.Type, Body: f.Body}
}

func newEndpointFrame(e core.Endpoint) endpointFrame {
	return endpointFrame{
		ID:               e.ID,
		Zone:             e.Zone,
		Cell:             e.Cell,
		State:            e.State,
		RelativeCapacity: e.RelativeCapacity,
		StartedAt:        e.StartedAt,
		Addr:             e.Addr,
	}
}

func (f endpointFrame) endpoint() core.Endpoint {
	return core.Endpoint{
		Backend: admission.Backend{
			ID:               f.ID,
			Zone:             f.Zone,
			Cell:             f.Cell,
			State:            f.State,
			RelativeCapacity: f.RelativeCapacity,
			StartedAt:        f.StartedAt,
		},
		Addr: f.Addr,
	}
}

// newUsedCallIDsFrame encodes IDs as their hashes, each followed by its time in ns.
func newUsedCallIDsFrame(ids []core.UsedCallID) usedCallIDsFrame {
	var data usedCallIDsFrame
	for _, id := range ids {
		data = append(data, id.Hash[:]...)
		data = binary.BigEndian.AppendUint64(data, uint64(id.Until))
	}
	return data
}

func (f usedCallIDsFrame) callIDs() (ids []core.UsedCallID) {
	for ; len(f) >= usedCallIDBytes; f = f[usedCallIDBytes:] {
		hash := core.CallIDHash(f)
		until := binary.BigEndian.Uint64(f[len(hash):])
		ids = append(ids, core.UsedCallID{Hash: hash, Until: time.Duration(until)})
	}
	return ids
}

func newStateFrame(s core.HandoverState) stateFrame {
	return stateFrame{
		Now:            s.Now,
		Controller:     s.Controller,
		Endpoints:      memento.List(s.Endpoints, newEndpointFrame),
		Generation:     s.Generation,
		Discovery:      s.Discovery,
		LastRequest:    s.LastRequest,
		OpenAttempts:   memento.List(s.OpenAttempts, newAttemptStartedFrame),
		Usage:          s.Usage,
		LeaseAcceptors: s.LeaseAcceptors,
		UsedCallIDs:    newUsedCallIDsFrame(s.UsedCallIDs),
	}
}

func (f stateFrame) state() core.HandoverState {
	return core.HandoverState{
		Now:            f.Now,
		Controller:     f.Controller,
		Endpoints:      memento.List(f.Endpoints, endpointFrame.endpoint),
		Generation:     f.Generation,
		Discovery:      f.Discovery,
		LastRequest:    f.LastRequest,
		OpenAttempts:   memento.List(f.OpenAttempts, attemptStartedFrame.attempt),
		Usage:          f.Usage,
		LeaseAcceptors: f.LeaseAcceptors,
		UsedCallIDs:    f.UsedCallIDs.callIDs(),
	}
}

// decode returns the event that a frame carries. The event is nil if there is an error, and for frameClientConn, which
// gives no error.
func decode(f link.Frame) (core.Event, error) {
	ev, err := decodeBody(f)
	if err != nil {
		return nil, err
	}
	return ev, nil
}

// decodeBody does the same as decode, but may return an event that is not nil together with an error.
func decodeBody(f link.Frame) (core.Event, error) {
	switch f.Kind {
	case uint8(hotrestart.Transfer):
		return decodeTransfer(f), nil
	case frameAttemptStarted:
		body, err := unmarshal[attemptStartedFrame](f)
		return &core.PredecessorAttemptStarted{OpenAttempt: body.attempt()}, err
	case frameAttemptFinished:
		body, err := unmarshal[attemptFinishedFrame](f)
		return &core.PredecessorAttemptFinished{FinishedAttempt: body.attempt()}, err
	case frameForwardedRequest:
		body, err := unmarshal[forwardedRequestFrame](f)
		return &core.ForwardedRequestReceived{ForwardedRequest: body.forwardedRequest()}, err
	case frameCanceledRequest:
		id, err := unmarshal[core.RequestID](f)
		return core.ForwardedRequestCanceled{Request: id}, err
	case frameForwardedResponse:
		body, err := unmarshal[forwardedResponseFrame](f)
		response, incomplete := body.respond()
		return &core.ForwardedResponseReceived{Respond: response}, errors.Join(err, incomplete)
	case frameRequestEnded:
		id, err := unmarshal[core.RequestID](f)
		return core.PredecessorRequestEnded{Request: id}, err
	case frameInheritedUsageSent:
		return core.InheritedUsageSent{}, nil
	case frameClientConn:
		return nil, nil
	}
	if f.Kind >= uint8(hotrestart.NumKinds) {
		return nil, errUnknownKind
	}
	return &core.LinkMessageReceived{Kind: hotrestart.Kind(f.Kind)}, nil
}

// decodeTransfer returns the event of a Transfer. A state that cannot be decoded is left out of the event, and the
// successor takes over without it.
func decodeTransfer(f link.Frame) core.Event {
	ev := &core.LinkMessageReceived{Kind: hotrestart.Transfer, Sockets: f.Sockets}
	body, err := unmarshal[stateFrame](f)
	if err == nil {
		state := body.state()
		ev.State = &state
	}
	return ev
}

// unmarshal decodes the body of a frame.
func unmarshal[T any](f link.Frame) (body T, err error) {
	err = frameCodec.Unmarshal(f.Body, &body)
	return body, err
}
