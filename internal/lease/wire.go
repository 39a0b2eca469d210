package lease

import (
	"encoding/binary"
	"hash/fnv"
	"slices"

	"lemongate/internal/checksum"
	"lemongate/internal/quota"
)

// Datagrams about leases begin with a byte that is no version of the limiters' other messages, so
// that a limiter of another version passes over them, and they may go beside those.
const (
	magic = 'L'
	size  = 51
)

// IsMessage tells whether a datagram is about leases.
func IsMessage(data []byte) bool { return len(data) > 0 && data[0] == magic }

// Append adds the packed message to data.
func (m Message) Append(data []byte) []byte {
	be := binary.BigEndian
	stands := byte(0)
	if m.HasLease {
		stands = 1
	}
	data = be.AppendUint32(append(data, magic, byte(m.Kind), stands), m.Task)
	data = be.AppendUint16(be.AppendUint32(be.AppendUint32(data, m.Ballot.Round), m.Ballot.Epoch), m.Ballot.By)
	data = be.AppendUint32(be.AppendUint16(data, m.Holder), m.Incarnation)
	data = be.AppendUint64(be.AppendUint64(be.AppendUint64(data, m.Token), m.HighestToken), m.Payload)
	return checksum.Append(data)
}

// Parse unpacks a message and tells whether it is one.
func Parse(data []byte) (m Message, ok bool) {
	if len(data) != size || !IsMessage(data) || data[1] >= byte(NumKinds) || data[2] > 1 {
		return m, false
	}
	if data, ok = checksum.Verify(data); !ok {
		return m, false
	}
	be := binary.BigEndian
	return Message{
		Kind: Kind(data[1]), HasLease: data[2] == 1, Task: be.Uint32(data[3:]),
		Ballot: Ballot{be.Uint32(data[7:]), be.Uint32(data[11:]), be.Uint16(data[15:])},
		Holder: be.Uint16(data[17:]), Incarnation: be.Uint32(data[19:]), Token: be.Uint64(data[23:]), HighestToken: be.Uint64(data[31:]), Payload: be.Uint64(data[39:]),
	}, true
}

// TaskID is a task's name on the wire.
func TaskID(task string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(task))
	return h.Sum32()
}

// AcceptorsOf are the limiters that keep a task, of a tier of some size: the same at all, and other
// ones for other tasks.
func AcceptorsOf(task uint32, limiters, keepers int) []Limiter {
	all := make([]Limiter, limiters)
	for i := range all {
		all[i] = Limiter(i)
	}
	slices.SortFunc(all, func(a, b Limiter) int {
		x, y := quota.Mix64(uint64(task)<<32|uint64(a)), quota.Mix64(uint64(task)<<32|uint64(b))
		if x == y {
			return int(a) - int(b)
		}
		if x < y {
			return -1
		}
		return 1
	})
	return all[:min(max(keepers, 1), limiters)]
}
