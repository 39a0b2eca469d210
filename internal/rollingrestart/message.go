package rollingrestart

import (
	"encoding/binary"
	"time"

	"lemongate/internal/checksum"
)

// Limiter is the number of one limiter of the tier.
type Limiter = uint16

// Kind is the kind of a Message. Its numbers are on the wire.
type Kind uint8

// The kinds of messages, with their senders.
const (
	SlotRequest Kind = iota // requester: requests the grant of a slot
	SlotGrant               // coordinator: permits a restart within ValidFor, while those in Restarting restart too
	StatusQuery             // coordinator, to a limiter that has a slot: does it still have its grant, and does it serve?
	StatusReply             // requester: the reply to a StatusQuery
	SlotRelease             // any limiter, to the coordinator: frees the slot of Released, which will not come back
	numKinds
)

// Message is sent from one limiter to another. It may be lost, delayed, duplicated and reordered.
type Message struct {
	Kind       Kind
	Nonce      uint32        // SlotRequest, SlotGrant: of the request; StatusQuery, StatusReply: of the query
	Token      uint64        // SlotGrant, StatusQuery: fencing token of the coordinator's lease
	ValidFor   time.Duration // SlotGrant: how long the grant is valid; whole milliseconds on the wire
	HasGrant   bool          // StatusReply: the limiter has a grant
	Serving    bool          // StatusReply: the limiter serves
	Released   Limiter       // SlotRelease: the limiter whose slot is freed
	Restarting []Limiter     // SlotGrant: the others that are restarting
}

// Envelope is a message with its receiver.
type Envelope struct {
	To      Limiter
	Message Message
}

// Layout of a datagram, big-endian. The first byte differs from every version number of the limiters' other
// messages.
//
//	0  magic    14  ValidFor in ms, 4 bytes
//	1  Kind     18  flags
//	2  Nonce    19  Released, 2 bytes
//	6  Token    21  number of entries of Restarting
//	            22  Restarting, 2 bytes each; the checksum, 4 bytes
const (
	magic      = 'W'
	headerSize = 22

	flagHasGrant = 1 << 0
	flagServing  = 1 << 1
	allFlags     = flagHasGrant | flagServing
)

// IsMessage reports whether a datagram is a message of this package.
func IsMessage(data []byte) bool { return len(data) > 0 && data[0] == magic }

// Append appends the datagram of a message to data, which must be empty.
func (m Message) Append(data []byte) []byte {
	flags := byte(0)
	if m.HasGrant {
		flags |= flagHasGrant
	}
	if m.Serving {
		flags |= flagServing
	}
	order := binary.BigEndian
	data = append(data, magic, byte(m.Kind))
	data = order.AppendUint32(data, m.Nonce)
	data = order.AppendUint64(data, m.Token)
	data = order.AppendUint32(data, uint32(m.ValidFor/time.Millisecond))
	data = append(data, flags)
	data = order.AppendUint16(data, m.Released)
	data = append(data, byte(len(m.Restarting)))
	for _, n := range m.Restarting {
		data = order.AppendUint16(data, n)
	}
	return checksum.Append(data)
}

// Parse decodes a datagram, and reports whether it is a message of this package.
func Parse(data []byte) (m Message, ok bool) {
	data, ok = checksum.Verify(data)
	if !ok || len(data) < headerSize || !IsMessage(data) {
		return m, false
	}
	kind, flags, count := data[1], data[18], int(data[21])
	if kind >= byte(numKinds) || flags > allFlags || count > MaxSlots || len(data) != headerSize+2*count {
		return m, false
	}
	order := binary.BigEndian
	m = Message{
		Kind:     Kind(kind),
		Nonce:    order.Uint32(data[2:]),
		Token:    order.Uint64(data[6:]),
		ValidFor: time.Duration(order.Uint32(data[14:])) * time.Millisecond,
		HasGrant: flags&flagHasGrant != 0,
		Serving:  flags&flagServing != 0,
		Released: order.Uint16(data[19:]),
	}
	for i := range count {
		m.Restarting = append(m.Restarting, order.Uint16(data[headerSize+2*i:]))
	}
	return m, true
}
