// Package simprotocol implements the simulator's line protocol for simulated limiters: it reads batches of events,
// passes each event to the admission controller of its limiter, and writes the controller's actions. It decides
// nothing itself. This is the only place that maps the protocol's names to the events and actions of package
// admission.
//
// The text is UTF-8. The parts of a line are separated by tabs. The first part is the verb, and on all lines but those
// that frame a batch the second part is the limiter. An absent part is "-". Times, clock times included, are in
// seconds with fractions; the clock starts at an arbitrary value and only goes forward.
//
// A batch is a line "frame", lines of events and a line "your_turn". Its reply is a line for each action
// and a line "ok". All of a batch's events and actions happen at the clock time of its frame.
package simprotocol

import "lemongate/internal/admission"

// verb is the first part of a line.
type verb string

// Verbs that frame a batch and its reply.
const (
	verbFrame    verb = "frame"
	verbYourTurn verb = "your_turn"
	verbOK       verb = "ok"
)

// Verbs of events, and of the rows of an endpoint list.
const (
	verbPowerOn    verb = "power_on"
	verbHalt       verb = "halt"
	verbMembership verb = "membership"
	verbRow        verb = "row"
	verbAccept     verb = "accept"
	verbFirst      verb = "first"
	verbAnswer     verb = "answer"
	verbAborted    verb = "aborted"
	verbFired      verb = "fired"
	verbProbed     verb = "probed"
	verbMessage    verb = "message"
	verbReckoned   verb = "reckoned"
)

// Verbs of actions.
const (
	verbAttempt     verb = "attempt"
	verbStopAttempt verb = "stop_attempt"
	verbDeny        verb = "deny"
	verbDropRequest verb = "drop_request"
	verbDefer       verb = "defer"
	verbInspect     verb = "inspect"
	verbSay         verb = "say"
	verbListen      verb = "listen"
	verbRemark      verb = "remark"
)

// Numbers of parts of a line, including its verb.
const (
	framePartCount = 3
	rowPartCount   = 8
)

// eventPartCounts maps the verb of an event to the number of parts of its line, including the verb. The last part is
// the rest of the line.
var eventPartCounts = map[verb]int{
	verbPowerOn:    4,
	verbHalt:       2,
	verbMembership: 5,
	verbAccept:     12,
	verbFirst:      6,
	verbAnswer:     11,
	verbAborted:    3,
	verbFired:      3,
	verbProbed:     6,
	verbMessage:    4,
	verbReckoned:   6,
}

// timerToken is the token of the only timer that a controller sets.
const timerToken = "beat"

var listKinds = map[string]admission.ListKind{
	"D": admission.ListDelta,
	"F": admission.ListComplete,
	"C": admission.ListCached,
	"X": admission.ListFailed,
}

var backendStates = map[string]admission.BackendState{
	"live":      admission.Live,
	"quiescing": admission.Draining,
	"dead":      admission.Removed,
}

var results = map[string]admission.Result{
	"done":         admission.Succeeded,
	"err":          admission.Errored,
	"busy":         admission.Rejected,
	"etimedout":    admission.TimedOut,
	"econnrefused": admission.Unreachable,
	"econnreset":   admission.ConnectionLost,
	"ecanceled":    admission.Canceled,
	"skipped":      admission.NotSent,
}
