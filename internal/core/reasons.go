package core

import (
	"encoding/json"

	"lemongate/internal/admission"
)

// This file has the reasons for which connections are closed, requests are answered and attempts are retried, and counts
// them. Logs and metrics show them by name.

// CloseReason is the reason for which the server closed a client connection, or for which one ended before a complete
// request was read.
type CloseReason uint8

const (
	// CloseUnknown is the reason of an event that states none.
	CloseUnknown CloseReason = iota
	// CloseIdle means that the connection was between requests, and was closed to make room.
	CloseIdle
	// CloseSilent means that nothing was received on a new connection, and it was closed to make room.
	CloseSilent
	// CloseIncomplete means that a part of a request was received, and the connection was closed to make room.
	CloseIncomplete
	// CloseLingering means that the last response had been sent, and the connection was closed to make room before its
	// client closed it.
	CloseLingering
	// CloseRejected means that the connection was beyond the limit, and its client was told so.
	CloseRejected
	// CloseRejectedUnread means that the connection was beyond the limit, and no request was received on it.
	CloseRejectedUnread
	// CloseByClient means that the client closed the connection before its request was complete.
	CloseByClient
	// CloseTimeout means that a request was not complete in time.
	CloseTimeout
	// CloseMemory means that the connection was stuck in the middle of a request or a response, and its memory was needed.
	CloseMemory
	// CloseUnreadResponse means that the client did not read its response, and the connection was closed to make room.
	CloseUnreadResponse
	// ClosePaced means that the connection got local replies too fast, and was closed between two requests to make room.
	ClosePaced
	// CloseUnparsable means that what was received is no request.
	CloseUnparsable
	numCloseReasons
)

// String returns the name that logs and metrics use.
func (r CloseReason) String() string {
	return [...]string{
		"unknown", "idle", "silent", "incomplete", "lingering", "rejected", "rejected_unread", "client", "timeout", "memory", "unread_response", "paced", "unparsable",
	}[r]
}

// CloseCounts counts closed client connections by reason.
type CloseCounts [numCloseReasons]uint64

// MarshalJSON encodes the counts as an object with the names of the reasons as keys, without zero counts.
func (c CloseCounts) MarshalJSON() ([]byte, error) { return json.Marshal(c.ByName()) }

// ByName returns the counts that are not zero, by the names of their reasons.
func (c CloseCounts) ByName() map[string]uint64 {
	return countsByName(c[:], func(i int) string { return CloseReason(i).String() })
}

// ReplyReason is the reason for which a request got a local reply in place of a backend's response: one of the reasons
// here, or one of the admission controller.
type ReplyReason uint8

const (
	// ReplyUnknown is the reason of a response that states none, such as a backend's.
	ReplyUnknown ReplyReason = iota
	// ReplyDeadline means that the deadline of the request was reached.
	ReplyDeadline
	// ReplyDisconnected means that the client disconnected, or ended its sending.
	ReplyDisconnected
	// ReplyUnseen means that it cannot be seen whether the client has disconnected; see DisconnectUnseen.
	ReplyUnseen
	// ReplyDuplicateID means that another open request has the same call ID.
	ReplyDuplicateID
	// ReplyRepeated means that a request with the same call ID has ended, may have run, and must not run twice.
	ReplyRepeated
	// ReplyTooManyCallIDs means that no further call ID can be remembered, so that the request could run twice.
	ReplyTooManyCallIDs
	// ReplyOutOfMemory means that there was no memory for the request, or for the rest of it.
	ReplyOutOfMemory
	// ReplyHandoverFailed means that the successor to which the request was forwarded failed.
	ReplyHandoverFailed
	// firstAdmissionReply is the first of the admission controller's reasons, in their order.
	firstAdmissionReply
)

const numReplyReasons = firstAdmissionReply + ReplyReason(admission.NumEndReasons)

// admissionReply returns the reason of a request that the admission controller ended.
func admissionReply(reason admission.EndReason) ReplyReason {
	return firstAdmissionReply + ReplyReason(reason)
}

// disconnectReply returns the reason of a reply to a client that counts as disconnected.
func disconnectReply(reason DisconnectReason) ReplyReason {
	if reason == DisconnectUnseen {
		return ReplyUnseen
	}
	return ReplyDisconnected
}

// String returns the name that logs and metrics use.
func (r ReplyReason) String() string {
	if r >= firstAdmissionReply {
		return admission.EndReason(r - firstAdmissionReply).String()
	}
	return [...]string{"unknown", "deadline", "disconnected", "unseen", "duplicate_id", "repeated", "too_many_call_ids", "out_of_memory", "handover_failed"}[r]
}

// ReplyCounts counts local replies by reason.
type ReplyCounts [numReplyReasons]uint64

// MarshalJSON encodes the counts as an object with the names of the reasons as keys, without zero counts.
func (c ReplyCounts) MarshalJSON() ([]byte, error) { return json.Marshal(c.ByName()) }

// ByName returns the counts that are not zero, by the names of their reasons.
func (c ReplyCounts) ByName() map[string]uint64 {
	return countsByName(c[:], func(i int) string { return ReplyReason(i).String() })
}

// RetryCounts counts retries by the result of the attempt before.
type RetryCounts [admission.NumResults]uint64

// MarshalJSON encodes the counts as an object with the names of the results as keys, without zero counts.
func (c RetryCounts) MarshalJSON() ([]byte, error) { return json.Marshal(c.ByName()) }

// ByName returns the counts that are not zero, by the names of their results.
func (c RetryCounts) ByName() map[string]uint64 {
	return countsByName(c[:], func(i int) string { return admission.Result(i).String() })
}

// countsByName returns the counts that are not zero, by the names of their indexes.
func countsByName(counts []uint64, name func(index int) string) map[string]uint64 {
	byName := map[string]uint64{}
	for i, count := range counts {
		if count > 0 {
			byName[name(i)] = count
		}
	}
	return byName
}
