package simprotocol

import (
	"fmt"

	"lemongate/internal/admission"
)

// This file decodes the events that are for an admission controller. The comment of each function lists the parts of
// its line, in order. Parts that no decision uses are validated too.

// decodeEvent returns the event of a line, or nil for an event that no controller needs.
func (s *server) decodeEvent(l *line) (admission.Event, error) {
	if l.verb == verbMembership {
		return s.decodeEndpointList(l)
	}
	event := decodeSimpleEvent(l)
	return event, l.err
}

// decodeSimpleEvent returns an event that consists of a single line.
func decodeSimpleEvent(l *line) admission.Event {
	switch l.verb {
	case verbAccept:
		return decodeRequest(l)
	case verbFirst:
		return decodeResponseStarted(l)
	case verbAnswer:
		return decodeAttemptFinished(l)
	case verbAborted:
		return decodeRequestEnded(l)
	case verbFired:
		return decodeTimerFired(l)
	case verbProbed:
		return decodeProbeResult(l)
	case verbMessage:
		return decodePeerMessage(l)
	case verbReckoned:
		return decodeCounterReply(l)
	}
	return nil
}

// decodeEndpointList decodes an endpoint list and its rows: membership, limiter, version, kind, number of rows.
func (s *server) decodeEndpointList(l *line) (admission.Event, error) {
	list := &admission.EndpointList{Kind: choice(l, 3, listKinds)}
	_ = l.integer(2)
	rows := l.integer(4)
	if l.err != nil {
		return nil, l.err
	}
	for i := range rows {
		text, ok := s.nextLine()
		if !ok {
			return nil, fmt.Errorf("%s: input ends after %d of %d rows", l.verb, i, rows)
		}
		backend, err := decodeEndpoint(text)
		if err != nil {
			return nil, err
		}
		list.Backends = append(list.Backends, backend)
	}
	return list, nil
}

// decodeEndpoint decodes an entry of an endpoint list: row, backend, zone, kind of machine, cell, state,
// relative capacity, clock time of the start.
func decodeEndpoint(text string) (admission.Backend, error) {
	l := splitLine(verbRow, text)
	if err := l.checkVerb(); err != nil {
		return admission.Backend{}, fmt.Errorf("%s: %w", verbMembership, err)
	}
	if err := l.checkPartCount(rowPartCount); err != nil {
		return admission.Backend{}, err
	}
	backend := admission.Backend{
		ID:               l.parts[1],
		Zone:             l.parts[2],
		Cell:             int(l.integer(4)),
		State:            choice(&l, 5, backendStates),
		RelativeCapacity: l.number(6),
		StartedAt:        l.seconds(7),
	}
	return backend, l.err
}

// decodeRequest decodes a client's request: accept, limiter, request, budget, first limiter of the customer's set,
// whether it changes data, size of the set, whether it is a retry, plan, units, customer, class.
func decodeRequest(l *line) admission.Event {
	request := &admission.Request{
		ID:           l.request(),
		Budget:       l.seconds(3),
		FirstLimiter: int(l.integer(4)),
		SetSize:      int(l.integer(6)),
		IsRetry:      l.flag(7),
		Plan:         l.parts[8],
		Units:        l.number(9),
		Customer:     l.parts[10],
		Class:        l.parts[11],
	}
	_ = l.flag(5)
	return request
}

// decodeResponseStarted decodes the start of a response: first, limiter, request, latency, backend, attempt.
func decodeResponseStarted(l *line) admission.Event {
	started := &admission.ResponseStarted{Request: l.request(), Attempt: int(l.integer(5))}
	_ = l.seconds(3)
	return started
}

// decodeAttemptFinished decodes the end of an attempt: answer, limiter, request, attempt, backend, result, latency,
// whether the request is over, two figures on quotas, load report.
func decodeAttemptFinished(l *line) admission.Event {
	finished := &admission.AttemptFinished{
		Request: l.request(),
		Attempt: int(l.integer(3)),
		Backend: l.parts[4],
		Result:  choice(l, 5, results),
		Latency: l.seconds(6),
		Final:   l.flag(7),
		Report:  l.loadReport(10),
	}
	_ = l.number(8)
	_ = l.number(9)
	return finished
}

// decodeRequestEnded decodes the end of a request by its client or its deadline: aborted, limiter, request.
func decodeRequestEnded(l *line) admission.Event {
	return &admission.RequestEnded{Request: l.request()}
}

// decodeTimerFired decodes the end of a timer: fired, limiter, token. A token that no controller sets only means that
// time has passed.
func decodeTimerFired(l *line) admission.Event {
	if l.parts[2] != timerToken {
		return admission.TimePassed{}
	}
	return admission.TimerFired{}
}

// decodeProbeResult decodes the end of a probe: probed, limiter, backend, result, latency, load report.
func decodeProbeResult(l *line) admission.Event {
	return &admission.ProbeResult{
		Backend: l.parts[2],
		Result:  choice(l, 3, results),
		Latency: l.seconds(4),
		Report:  l.loadReport(5),
	}
}

// decodePeerMessage decodes a message of another limiter: message, limiter, number of the sender, data.
func decodePeerMessage(l *line) admission.Event {
	return &admission.PeerMessage{From: int(l.integer(2)), Data: l.bytes(3)}
}

// decodeCounterReply decodes a reply of the platform's counter service, which a controller does not use: reckoned,
// limiter, count, result, latency, name of the count.
func decodeCounterReply(l *line) admission.Event {
	_ = l.number(2)
	return nil
}
