package processharness

import (
	"time"

	"github.com/anishathalye/porcupine"
)

// historyTimeout bounds the search for an order of a history.
const historyTimeout = time.Minute

// fencedLock is what a lease guarantees to a backend: a lock whose holders have growing fencing tokens. Its
// state is the greatest token of an attempt.
var fencedLock = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, _ any) (bool, any) {
		return input.(uint64) >= state.(uint64), input
	},
}

// IsFencedLockHistory reports whether acts are a linearizable history of a lock with fencing tokens: each at some time
// between its arrival and its response, none under a lower token than one before.
func IsFencedLockHistory(acts []LeasedAttempt) bool {
	var history []porcupine.Operation
	for i, a := range acts {
		history = append(history, porcupine.Operation{
			ClientId: i,
			Input:    a.Token,
			Call:     a.At.UnixNano(),
			Return:   max(a.End.UnixNano(), a.At.UnixNano()),
		})
	}
	return porcupine.CheckOperationsTimeout(fencedLock, history, historyTimeout) == porcupine.Ok
}
