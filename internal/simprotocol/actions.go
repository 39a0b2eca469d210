package simprotocol

import (
	"encoding/base64"
	"strconv"
	"strings"
	"time"

	"lemongate/internal/admission"
)

// This file writes the actions of an admission controller. The comment of each function names the parts
// of its line.

// reply is the text of the reply to a batch.
type reply struct{ text []byte }

func (r *reply) reset() { r.text = r.text[:0] }

// ok ends the reply: ok, number of the batch.
func (r *reply) ok(batch int64) {
	r.text = append(r.text, verbOK...)
	r.integer(batch)
	r.endLine()
}

// add adds an action of a limiter.
func (r *reply) add(limiter string, action admission.Action) {
	switch a := action.(type) {
	case admission.StartAttempt:
		r.attempt(limiter, a)
	case admission.CancelAttempt:
		r.stopAttempt(limiter, a)
	case admission.Reject:
		r.deny(limiter, a)
	case admission.Fail:
		r.dropRequest(limiter, a)
	case admission.SetTimer:
		r.deferUntil(limiter, a)
	case admission.ProbeBackend:
		r.inspect(limiter, a)
	case admission.SendToPeer:
		r.say(limiter, a)
	case admission.PollEndpoints:
		r.listen(limiter)
	case admission.Log:
		r.remark(limiter, a)
	}
}

// attempt forwards a request: attempt, limiter, request, backend, clock time at which the attempt ends.
func (r *reply) attempt(limiter string, a admission.StartAttempt) {
	r.startLine(verbAttempt, limiter)
	r.request(a.Request)
	r.part(a.Backend)
	r.seconds(a.Deadline)
	r.endLine()
}

// stopAttempt cancels an attempt: stop_attempt, limiter, request, attempt.
func (r *reply) stopAttempt(limiter string, a admission.CancelAttempt) {
	r.startLine(verbStopAttempt, limiter)
	r.request(a.Request)
	r.integer(int64(a.Attempt))
	r.endLine()
}

// deny rejects a request: deny, limiter, request, how long the client should stay away.
func (r *reply) deny(limiter string, a admission.Reject) {
	r.startLine(verbDeny, limiter)
	r.request(a.Request)
	r.seconds(a.RetryAfter)
	r.endLine()
}

// dropRequest fails a request: drop_request, limiter, request.
func (r *reply) dropRequest(limiter string, a admission.Fail) {
	r.startLine(verbDropRequest, limiter)
	r.request(a.Request)
	r.endLine()
}

// deferUntil sets the timer: defer, limiter, clock time, token.
func (r *reply) deferUntil(limiter string, a admission.SetTimer) {
	r.startLine(verbDefer, limiter)
	r.seconds(a.At)
	r.part(timerToken)
	r.endLine()
}

// inspect probes a backend: inspect, limiter, backend.
func (r *reply) inspect(limiter string, a admission.ProbeBackend) {
	r.startLine(verbInspect, limiter)
	r.part(a.Backend)
	r.endLine()
}

// say sends a message to another limiter: say, limiter, number of the other one, data.
func (r *reply) say(limiter string, a admission.SendToPeer) {
	r.startLine(verbSay, limiter)
	r.integer(int64(a.Peer))
	r.part(base64.StdEncoding.EncodeToString(a.Data))
	r.endLine()
}

// listen starts a poll for changes of the endpoint list: listen, limiter, 1.
func (r *reply) listen(limiter string) {
	r.startLine(verbListen, limiter)
	r.part("1")
	r.endLine()
}

// remark writes to the simulator's report: remark, limiter, text.
func (r *reply) remark(limiter string, a admission.Log) {
	r.startLine(verbRemark, limiter)
	r.part(oneLine.Replace(a.Text))
	r.endLine()
}

// oneLine makes a text one part of one line.
var oneLine = strings.NewReplacer("\t", " ", "\n", " ")

func (r *reply) startLine(name verb, limiter string) {
	r.text = append(r.text, name...)
	r.part(limiter)
}

func (r *reply) endLine() { r.text = append(r.text, '\n') }

func (r *reply) part(value string) {
	r.text = append(r.text, separator...)
	r.text = append(r.text, value...)
}

func (r *reply) integer(value int64) {
	r.text = append(r.text, separator...)
	r.text = strconv.AppendInt(r.text, value, 10)
}

func (r *reply) request(id admission.RequestID) { r.integer(int64(id)) }

// seconds adds a time, to the microsecond that the simulator counts in.
func (r *reply) seconds(value time.Duration) {
	r.text = append(r.text, separator...)
	r.text = strconv.AppendFloat(r.text, value.Seconds(), 'f', 6, 64)
}
