package lease

import (
	"cmp"
	"encoding/binary"

	"lemongate/internal/checksum"
)

// Ballot identifies one attempt to get or renew a lease. No two attempts have the same ballot.
type Ballot struct {
	Round uint32 `json:"Round"`
	// Epoch is the epoch of the limiter's start, in ms of the wall clock modulo 2^32, which wraps every 49.7
	// days. The only requirement is that the epochs of two incarnations of a limiter differ.
	Epoch uint32  `json:"Epoch"`
	By    Limiter `json:"By"` // the proposer
}

// Compare orders ballots: by round, then by epoch, then by proposer. The order by epoch only has to be the
// same at all limiters; it need not be that of the starts.
func (b Ballot) Compare(other Ballot) int {
	return cmp.Or(cmp.Compare(b.Round, other.Round), cmp.Compare(b.Epoch, other.Epoch), cmp.Compare(b.By, other.By))
}

// Kind is the kind of a Message. Its numbers are on the wire.
type Kind uint8

// The kinds of messages, with their senders.
const (
	Prepare       Kind = iota // proposer: promise this ballot
	Promise                   // acceptor: promised, unless the message reports another proposer's lease
	Reject                    // acceptor: no vote, as the greater ballot in this message is promised
	Propose                   // proposer: accept this ballot, and with it the lease
	Accept                    // acceptor: accepted
	Release                   // lease holder: the lease is released
	RecoveryQuery             // acceptor that has started: which tokens and payloads are known?
	RecoveryReply             // acceptor: the greatest token known to it, and the greatest payload
	NumKinds                  // the number of kinds
)

// String returns the name of a kind. Tests and logs have used these names since 0.8.0.
func (k Kind) String() string {
	return [NumKinds]string{
		Prepare:       "prepare",
		Promise:       "promise",
		Reject:        "refuse",
		Propose:       "propose",
		Accept:        "accept",
		Release:       "release",
		RecoveryQuery: "ask",
		RecoveryReply: "tell",
	}[k]
}

// Message is sent from one limiter to another. It may be lost, delayed, duplicated and reordered.
type Message struct {
	Kind         Kind
	Task         uint32  // see TaskID
	Ballot       Ballot  // RecoveryQuery and RecoveryReply: only Epoch is set, to that of the querying acceptor's start
	Holder       Limiter // Promise: the holder of the lease, if HasLease
	HolderEpoch  uint32  // Promise: the epoch of the holder's start, if HasLease
	HasLease     bool    // Promise: the acceptor has accepted a valid lease. RecoveryReply: the acceptor is active
	Token        uint64  // Propose: of the lease; Promise: of the reported lease
	HighestToken uint64  // the greatest token known to the sender
	Payload      uint64  // Propose: of the lease; Promise and RecoveryReply: the greatest accepted
}

// Envelope is a message with its receiver.
type Envelope struct {
	To      Limiter
	Message Message
}

// Layout of a datagram, big-endian. The first byte differs from every version number of the limiters' other
// messages, so that a limiter of another version ignores it.
//
//	 0  magic         17  Holder, 2 bytes
//	 1  Kind          19  HolderEpoch, 4 bytes
//	 2  HasLease      23  Token, 8 bytes
//	 3  Task          31  HighestToken, 8 bytes
//	 7  Ballot.Round  39  Payload, 8 bytes
//	11  Ballot.Epoch  47  checksum, 4 bytes
//	15  Ballot.By
const (
	magic        = 'L'
	datagramSize = 47 + checksum.Size
)

// IsMessage reports whether a datagram is a message of this package.
func IsMessage(data []byte) bool { return len(data) > 0 && data[0] == magic }

// Append encodes a message into data, which must be empty, because the checksum covers all of data. Its capacity is
// reused.
func (m Message) Append(data []byte) []byte {
	hasLease := byte(0)
	if m.HasLease {
		hasLease = 1
	}
	order := binary.BigEndian
	data = append(data, magic, byte(m.Kind), hasLease)
	data = order.AppendUint32(data, m.Task)
	data = order.AppendUint32(data, m.Ballot.Round)
	data = order.AppendUint32(data, m.Ballot.Epoch)
	data = order.AppendUint16(data, m.Ballot.By)
	data = order.AppendUint16(data, m.Holder)
	data = order.AppendUint32(data, m.HolderEpoch)
	data = order.AppendUint64(data, m.Token)
	data = order.AppendUint64(data, m.HighestToken)
	data = order.AppendUint64(data, m.Payload)
	return checksum.Append(data)
}

// Parse decodes a datagram, and reports whether it is a message of this package.
func Parse(data []byte) (m Message, ok bool) {
	if len(data) != datagramSize || !IsMessage(data) || data[1] >= byte(NumKinds) || data[2] > 1 {
		return m, false
	}
	if data, ok = checksum.Verify(data); !ok {
		return m, false
	}
	order := binary.BigEndian
	return Message{
		Kind:         Kind(data[1]),
		HasLease:     data[2] == 1,
		Task:         order.Uint32(data[3:]),
		Ballot:       Ballot{Round: order.Uint32(data[7:]), Epoch: order.Uint32(data[11:]), By: order.Uint16(data[15:])},
		Holder:       order.Uint16(data[17:]),
		HolderEpoch:  order.Uint32(data[19:]),
		Token:        order.Uint64(data[23:]),
		HighestToken: order.Uint64(data[31:]),
		Payload:      order.Uint64(data[39:]),
	}, true
}
