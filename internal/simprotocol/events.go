package simprotocol

import (
	"fmt"

	"lemongate/internal/admission"
)

// This file reads the events that are for an admission controller. The comment of each function names the
// parts of its line. Parts that no decision uses are checked all the same.

// decodeEvent returns the event of a line; nil for one that no controller needs to know.
func (s *server) decodeEvent(l *line) (admission.Event, error) {
	if l.verb == verbMembership {
		return s.decodeMembership(l)
	}
	event := decodeSimpleEvent(l)
	return event, l.err
}

// decodeSimpleEvent returns an event that is complete in its line.
func decodeSimpleEvent(l *line) admission.Event {
	switch l.verb {
	case verbAccept:
		return decodeAccept(l)
	case verbFirst:
		return decodeFirst(l)
	case verbAnswer:
		return decodeAnswer(l)
	case verbAborted:
		return decodeAborted(l)
	case verbFired:
		return decodeFired(l)
	case verbProbed:
		return decodeProbed(l)
	case verbMessage:
		return decodeMessage(l)
	case verbReckoned:
		return decodeReckoned(l)
	}
	return nil
}

// decodeMembership reads an endpoint list and its rows: membership, limiter, version, kind, number of rows.
func (s *server) decodeMembership(l *line) (admission.Event, error) {
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
		backend, err := decodeRow(text)
		if err != nil {
			return nil, err
		}
		list.Backends = append(list.Backends, backend)
	}
	return list, nil
}

// decodeRow reads an entry of an endpoint list: row, backend, zone, kind of machine, cell, state,
// relative capacity, clock time of the start.
func decodeRow(text string) (admission.Backend, error) {
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

// decodeAccept reads a client's request: accept, limiter, request, budget, first limiter of the
// customer's set, whether it changes data, size of the set, whether it is a retry, plan, units, customer,
// class.
func decodeAccept(l *line) admission.Event {
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

// decodeFirst reads that a response started: first, limiter, request, latency, backend, attempt.
func decodeFirst(l *line) admission.Event {
	started := &admission.ResponseStarted{Request: l.request(), Attempt: int(l.integer(5))}
	_ = l.seconds(3)
	return started
}

// decodeAnswer reads the end of an attempt: answer, limiter, request, attempt, backend, result, latency,
// whether the request is over, two figures on quotas, load report.
func decodeAnswer(l *line) admission.Event {
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

// decodeAborted reads the end of a request by its client or its deadline: aborted, limiter, request.
func decodeAborted(l *line) admission.Event {
	return &admission.RequestEnded{Request: l.request()}
}

// decodeFired reads that a timer is due: fired, limiter, token. A token that no controller sets says only that
// time has passed.
func decodeFired(l *line) admission.Event {
	if l.parts[2] != timerToken {
		return admission.TimePassed{}
	}
	return admission.TimerFired{}
}

// decodeProbed reads the end of a probe: probed, limiter, backend, result, latency, load report.
func decodeProbed(l *line) admission.Event {
	return &admission.ProbeResult{
		Backend: l.parts[2],
		Result:  choice(l, 3, results),
		Latency: l.seconds(4),
		Report:  l.loadReport(5),
	}
}

// decodeMessage reads a message of another limiter: message, limiter, number of the sender, data.
func decodeMessage(l *line) admission.Event {
	return &admission.PeerMessage{From: int(l.integer(2)), Data: l.bytes(3)}
}

// decodeReckoned reads a reply of the platform's counter service, which a controller does not use:
// reckoned, limiter, count, result, latency, name of the count.
func decodeReckoned(l *line) admission.Event {
	_ = l.number(2)
	return nil
}
