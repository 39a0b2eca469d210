package checksum

import (
	"bytes"
	"slices"
	"testing"
)

// Verify returns data without its checksum, and rejects data that was changed or truncated.
func TestVerify(t *testing.T) {
	for _, data := range [][]byte{{}, []byte("L"), []byte("a longer datagram")} {
		summed := Append(slices.Clone(data))
		if got, ok := Verify(summed); !ok || !bytes.Equal(got, data) || len(summed) != len(data)+Size {
			t.Errorf("data %q with a checksum: Verify returned %q, %v", data, got, ok)
		}
		for i := range summed {
			changed := slices.Clone(summed)
			changed[i]++
			if _, ok := Verify(changed); ok {
				t.Errorf("%q: change of byte %d not detected", data, i)
			}
		}
		if _, ok := Verify(summed[:len(summed)-1]); ok && len(summed) > Size {
			t.Errorf("%q: missing last byte not detected", data)
		}
	}
	if _, ok := Verify(make([]byte, Size-1)); ok {
		t.Error("data shorter than a checksum is accepted")
	}
}
