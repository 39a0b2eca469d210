package simprotocol

import (
	"encoding/base64"
	"strconv"
	"strings"
	"time"

	"lemongate/internal/admission"
)

// This file encodes the actions of an admission controller. The comment of each function lists the parts of its
// line, in order.

// reply is the text of the reply to a batch.
type reply struct{ text []byte }

func (r *reply) reset() { r.text = r.text[:0] }

// ok ends the reply: ok, number of the batch.
func (r *reply) ok(batch int64) {
	r.text = append(r.text, verbOK...)
	r.integer(batch)
	r.endLine()
}

// add appends the line of an action of a limiter.
func (r *reply) add(limiter string, action admission.Action) {
	switch a := action.(type) {
	case admission.StartAttempt:
		r.startAttempt(limiter, a)
	case admission.CancelAttempt:
		r.cancelAttempt(limiter, a)
	case admission.Reject:
		r.reject(limiter, a)
	case admission.Fail:
		r.fail(limiter, a)
	case admission.SetTimer:
		r.setTimer(limiter, a)
	case admission.ProbeBackend:
		r.probeBackend(limiter, a)
	case admission.SendToPeer:
		r.sendToPeer(limiter, a)
	case admission.PollEndpoints:
		r.pollEndpoints(limiter)
	case admission.Log:
		r.log(limiter, a)
	}
}

// startAttempt sends a request to a backend: attempt, limiter, request, backend, clock time at which the attempt ends.
func (r *reply) startAttempt(limiter string, a admission.StartAttempt) {
	r.startLine(verbAttempt, limiter)
	r.request(a.Request)
	r.part(a.Backend)
	r.seconds(a.Deadline)
	r.endLine()
}

// cancelAttempt cancels an attempt: stop_attempt, limiter, request, attempt.
func (r *reply) cancelAttempt(limiter string, a admission.CancelAttempt) {
	r.startLine(verbStopAttempt, limiter)
	r.request(a.Request)
	r.integer(int64(a.Attempt))
	r.endLine()
}

// reject rejects a request: deny, limiter, request, time after which the client may retry.
func (r *reply) reject(limiter string, a admission.Reject) {
	r.startLine(verbDeny, limiter)
	r.request(a.Request)
	r.seconds(a.RetryAfter)
	r.endLine()
}

// fail fails a request: drop_request, limiter, request.
func (r *reply) fail(limiter string, a admission.Fail) {
	r.startLine(verbDropRequest, limiter)
	r.request(a.Request)
	r.endLine()
}

// setTimer sets the timer: defer, limiter, clock time, token.
func (r *reply) setTimer(limiter string, a admission.SetTimer) {
	r.startLine(verbDefer, limiter)
	r.seconds(a.At)
	r.part(timerToken)
	r.endLine()
}

// probeBackend probes a backend: inspect, limiter, backend.
func (r *reply) probeBackend(limiter string, a admission.ProbeBackend) {
	r.startLine(verbInspect, limiter)
	r.part(a.Backend)
	r.endLine()
}

// sendToPeer sends a message to another limiter: say, limiter, number of the receiver, data.
func (r *reply) sendToPeer(limiter string, a admission.SendToPeer) {
	r.startLine(verbSay, limiter)
	r.integer(int64(a.Peer))
	r.part(base64.StdEncoding.EncodeToString(a.Data))
	r.endLine()
}

// pollEndpoints starts a poll for changes of the endpoint list: listen, limiter, 1.
func (r *reply) pollEndpoints(limiter string) {
	r.startLine(verbListen, limiter)
	r.part("1")
	r.endLine()
}

// log writes a text to the simulator's report: remark, limiter, text.
func (r *reply) log(limiter string, a admission.Log) {
	r.startLine(verbRemark, limiter)
	r.part(oneLine.Replace(a.Text))
	r.endLine()
}

// oneLine replaces the characters that would end a part or a line.
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

// seconds appends a time with a resolution of 1 microsecond, which is the simulator's.
func (r *reply) seconds(value time.Duration) {
	r.text = append(r.text, separator...)
	r.text = strconv.AppendFloat(r.text, value.Seconds(), 'f', 6, 64)
}
