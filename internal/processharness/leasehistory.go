package processharness

import (
	"time"

	"github.com/anishathalye/porcupine"
)

// historyTimeout limits the search for a linearization of a history.
const historyTimeout = time.Minute

// fencedLock models what a lease guarantees to a backend: a lock whose holders have increasing fencing tokens. Its
// state is the greatest token of an attempt so far.
var fencedLock = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, _ any) (bool, any) {
		return input.(uint64) >= state.(uint64), input
	},
}

// IsFencedLockHistory reports whether the attempts are a linearizable history of a lock with fencing tokens: each
// takes effect at some time between its arrival and its response, and none has a lower token than one before it.
func IsFencedLockHistory(attempts []LeasedAttempt) bool {
	var history []porcupine.Operation
	for i, a := range attempts {
		history = append(history, porcupine.Operation{
			ClientId: i,
			Input:    a.Token,
			Call:     a.ArrivedAt.UnixNano(),
			Return:   max(a.RespondedAt.UnixNano(), a.ArrivedAt.UnixNano()),
		})
	}
	return porcupine.CheckOperationsTimeout(fencedLock, history, historyTimeout) == porcupine.Ok
}
