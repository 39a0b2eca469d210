package core

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"time"

	"lemongate/internal/admission"
)

// This file keeps two requests with the same call ID apart: two that are open at once, whose responses backends and clients
// would confuse, and a request that comes again after its client has left, which might run twice.

// maxUsedCallIDs is the number of call IDs that are remembered at most, about 1 MB. Each is of a request that had an attempt
// at a backend within the longest time that a client waits.
const maxUsedCallIDs = 16 << 10

// A CallIDHash stands for a call ID, whose length its client chooses.
type CallIDHash [16]byte

func hashCallID(id string) (hash CallIDHash) {
	sum := sha256.Sum256([]byte(id))
	copy(hash[:], sum[:])
	return hash
}

// usedCallIDs are the call IDs of requests that have ended, may have run, and must not run twice. They are remembered for as
// long as a client may wait, from the end of the request: a client that left may send the request again until then, and an
// attempt that was canceled may still run.
type usedCallIDs struct {
	until map[CallIDHash]time.Duration // clock time from which an ID is forgotten
	order []UsedCallID                 // in the order of their times
}

// UsedCallID is the call ID of a request that must not run again.
type UsedCallID struct {
	Hash  CallIDHash
	Until time.Duration // clock time from which the ID is forgotten
}

// remember remembers an ID until a clock time, which must not be before those of earlier calls.
func (u *usedCallIDs) remember(id string, until time.Duration) {
	if u.until == nil {
		u.until = map[CallIDHash]time.Duration{}
	}
	hash := hashCallID(id)
	u.until[hash] = until
	u.order = append(u.order, UsedCallID{hash, until})
}

// restore remembers the IDs that a predecessor handed over. It is called before any other ID is remembered.
func (u *usedCallIDs) restore(ids []UsedCallID) {
	u.until = make(map[CallIDHash]time.Duration, len(ids))
	u.order = slices.SortedStableFunc(slices.Values(ids), func(a, b UsedCallID) int { return cmp.Compare(a.Until, b.Until) })
	for _, id := range u.order {
		u.until[id.Hash] = id.Until
	}
}

// contains reports whether an ID is remembered.
func (u *usedCallIDs) contains(id string, now time.Duration) bool {
	u.forget(now)
	return len(u.order) > 0 && u.until[hashCallID(id)] > now
}

// isFull reports whether no further ID can be remembered now.
func (u *usedCallIDs) isFull(now time.Duration) bool {
	u.forget(now)
	return len(u.order) >= maxUsedCallIDs
}

// forget forgets the IDs whose time has come.
func (u *usedCallIDs) forget(now time.Duration) {
	for len(u.order) > 0 && u.order[0].Until <= now {
		first := u.order[0]
		u.order = u.order[1:]
		if u.until[first.Hash] == first.Until { // otherwise it was remembered again since
			delete(u.until, first.Hash)
		}
	}
	if len(u.order) == 0 {
		*u = usedCallIDs{} // frees the memory
	}
}

// claimCallID records the call ID of a request, if it has one, as in use. It returns false if another request uses it.
func (m *Machine) claimCallID(ev *RequestReceived) bool {
	if ev.CallID == "" {
		return true
	}
	if _, open := m.requests.byCallID[ev.CallID]; open {
		return false
	}
	m.requests.byCallID[ev.CallID] = ev.ID
	return true
}

// rejectCallID answers a request whose call ID keeps it from being accepted, and reports whether it did so.
func (m *Machine) rejectCallID(ev *RequestReceived, fromPredecessor bool) bool {
	used := &m.requests.usedCallIDs
	switch {
	case ev.CallID == "":
		return false
	case used.contains(ev.CallID, m.now):
		m.rejectReceived(ev, fromPredecessor, Respond{Request: ev.ID, Kind: Failed, Reason: ReplyRepeated})
	case m.idempotencyOf(ev.Class) != admission.Idempotent && used.isFull(m.now):
		m.rejectReceived(ev, fromPredecessor, m.rejection(ev.ID, ReplyTooManyCallIDs))
	case !m.claimCallID(ev):
		m.counters.Malformed[DuplicateCallID]++
		m.sendResponse(fromPredecessor, Respond{Request: ev.ID, Kind: DuplicateID, Reason: ReplyDuplicateID})
	default:
		return false
	}
	return true
}

// rejectReceived counts a request and answers it at once.
func (m *Machine) rejectReceived(ev *RequestReceived, fromPredecessor bool, response Respond) {
	if !fromPredecessor {
		m.counters.Received++
		m.countResponse(m.classIndex(ev.Class), response.Kind)
	}
	m.sendResponse(fromPredecessor, response)
}

// rememberCallID remembers the call ID of a request that has ended here, if the request may have run and must not run twice.
func (m *Machine) rememberCallID(callID, class string, mayHaveRun bool) {
	if mayHaveRun && m.mustNotRunTwice(callID, class) {
		m.requests.usedCallIDs.remember(callID, m.now+m.longestBudget())
	}
}

// mustNotRunTwice reports whether a request must not run again under its call ID.
func (m *Machine) mustNotRunTwice(callID, class string) bool {
	return callID != "" && m.idempotencyOf(class) != admission.Idempotent
}

// handedOverCallIDs returns the call IDs for the successor: those that are remembered, and those of open requests that may have
// run and have no attempt in flight.
func (m *Machine) handedOverCallIDs() []UsedCallID {
	m.requests.usedCallIDs.forget(m.now)
	ids := slices.Clone(m.requests.usedCallIDs.order)
	for _, r := range m.requests.inOrder() {
		if r.mayHaveRun && r.openAttempts == 0 && m.mustNotRunTwice(r.CallID, r.Class) {
			ids = append(ids, UsedCallID{hashCallID(r.CallID), r.deadline + m.longestBudget()})
		}
	}
	return ids
}

// longestBudget returns the longest time for which a client waits.
func (m *Machine) longestBudget() (longest time.Duration) {
	for _, class := range m.config.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// classIndex returns the index of a class in the settings; noClass if there is none.
func (m *Machine) classIndex(name string) int {
	for i := range m.config.Settings.Classes {
		if m.config.Settings.Classes[i].Name == name {
			return i
		}
	}
	return noClass
}

// idempotencyOf returns the idempotency of a class; admission.Idempotent if there is none, as its requests are not forwarded.
func (m *Machine) idempotencyOf(name string) admission.Idempotency {
	if index := m.classIndex(name); index != noClass {
		return m.config.Settings.Classes[index].Idempotency
	}
	return admission.Idempotent
}
