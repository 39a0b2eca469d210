package processharness

import (
	"time"

	"github.com/anishathalye/porcupine"
)

// lock is what a lease promises to whoever is acted on: a lock whose holders have growing tokens.
// Its state is the greatest token that acted.
var lock = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, _ any) (bool, any) {
		return input.(uint64) >= state.(uint64), input
	},
}

// Locked tells whether acts are a history of a lock with tokens: each at some instant between when it
// came and when it was over, none under a lower token than one before.
func Locked(acts []Act) bool {
	var history []porcupine.Operation
	for i, a := range acts {
		history = append(history, porcupine.Operation{
			ClientId: i, Input: a.Token, Call: a.At.UnixNano(), Return: max(a.End.UnixNano(), a.At.UnixNano()),
		})
	}
	return porcupine.CheckOperationsTimeout(lock, history, time.Minute) == porcupine.Ok
}
