// Package checksum appends checksums to datagrams, so that corrupted data and datagrams of other programs are not
// taken for messages of a limiter. It does not protect against forged messages.
package checksum

import (
	"encoding/binary"
	"hash/fnv"
)

// Size is the size of a checksum in bytes.
const Size = 4

// Append appends the checksum of all of data to data.
func Append(data []byte) []byte { return binary.BigEndian.AppendUint32(data, sum(data)) }

// Verify returns data without the checksum at its end, and reports whether the checksum is correct.
func Verify(data []byte) ([]byte, bool) {
	n := len(data) - Size
	if n < 0 {
		return nil, false
	}
	return data[:n], binary.BigEndian.Uint32(data[n:]) == sum(data[:n])
}

// sum returns the FNV-1a hash of data.
func sum(data []byte) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write(data) // never fails
	return hash.Sum32()
}
