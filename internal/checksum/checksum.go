// Package checksum ends datagrams with a checksum, so that noise and datagrams of other programs are
// not taken for messages of a limiter. It is no protection against forged messages.
package checksum

import (
	"encoding/binary"
	"hash/fnv"
)

// Size is the size of a checksum in bytes.
const Size = 4

// Append appends the checksum of all of data to data.
func Append(data []byte) []byte { return binary.BigEndian.AppendUint32(data, sum(data)) }

// Verify returns data without the checksum at its end, and reports whether that checksum is right.
func Verify(data []byte) ([]byte, bool) {
	n := len(data) - Size
	if n < 0 {
		return nil, false
	}
	return data[:n], binary.BigEndian.Uint32(data[n:]) == sum(data[:n])
}

// sum is the FNV-1a hash of data.
func sum(data []byte) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write(data) // never fails
	return hash.Sum32()
}
