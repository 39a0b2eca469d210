package checksum

import (
	"bytes"
	"slices"
	"testing"
)

// Data comes back without its checksum; data that was changed or cut short is not accepted.
func TestVerify(t *testing.T) {
	for _, data := range [][]byte{{}, []byte("L"), []byte("a longer datagram")} {
		summed := Append(slices.Clone(data))
		if got, ok := Verify(summed); !ok || !bytes.Equal(got, data) || len(summed) != len(data)+Size {
			t.Errorf("%q comes back as %q, %v", data, got, ok)
		}
		for i := range summed {
			changed := slices.Clone(summed)
			changed[i]++
			if _, ok := Verify(changed); ok {
				t.Errorf("%q: a wrong byte %d is not noticed", data, i)
			}
		}
		if _, ok := Verify(summed[:len(summed)-1]); ok && len(summed) > Size {
			t.Errorf("%q: a missing byte is not noticed", data)
		}
	}
	if _, ok := Verify(make([]byte, Size-1)); ok {
		t.Error("data shorter than a checksum is accepted")
	}
}
