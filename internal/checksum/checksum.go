// Package checksum ends datagrams with a check against noise: what is none of ours must not be taken for
// one. It is no guard against who means harm.
package checksum

import (
	"encoding/binary"
	"hash/fnv"
)

// Size is how many bytes a seal takes.
const Size = 4

// Append adds the seal of data.
func Append(data []byte) []byte { return binary.BigEndian.AppendUint32(data, sum(data)) }

// Verify gives data without its seal, and tells whether that fits.
func Verify(data []byte) ([]byte, bool) {
	n := len(data) - Size
	if n < 0 {
		return nil, false
	}
	return data[:n], binary.BigEndian.Uint32(data[n:]) == sum(data[:n])
}

func sum(data []byte) uint32 {
	h := fnv.New32a()
	h.Write(data)
	return h.Sum32()
}
