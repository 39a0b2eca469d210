package eventloop

import (
	"errors"
	"fmt"
	"time"

	jsoniter "github.com/json-iterator/go"

	"lemongate/internal/admission"
	"lemongate/internal/core"
	"lemongate/internal/hotrestart"
	"lemongate/internal/hotrestart/link"
	"lemongate/internal/upstream"
)

// This file defines the format of the frames that the two processes of a limiter exchange, and is the only place beside
// stateframe.go that maps it to the types of package core. Bodies are JSON, so that releases whose frames have different
// fields understand each other. Kinds and field tags are part of a format that other releases read.

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

// unmarshal decodes the body of a frame.
func unmarshal[T any](f link.Frame) (body T, err error) {
	err = frameCodec.Unmarshal(f.Body, &body)
	return body, err
}
