package checksum

import (
	"bytes"
	"slices"
	"testing"
)

// Verify returns data without its checksum, and rejects data that was changed or truncated.
func TestVerify(t *testing.T) {
	for _, data := range [][]byte{{}, []byte("L"), []byte("a longer datagram")} {
		withChecksum := Append(slices.Clone(data))
		if got, ok := Verify(withChecksum); !ok || !bytes.Equal(got, data) || len(withChecksum) != len(data)+Size {
			t.Errorf("data %q with a checksum: Verify returned %q, %v; want the data and true", data, got, ok)
		}
		for i := range withChecksum {
			changed := slices.Clone(withChecksum)
			changed[i]++
			if _, ok := Verify(changed); ok {
				t.Errorf("%q: change of byte %d not detected", data, i)
			}
		}
		if _, ok := Verify(withChecksum[:len(withChecksum)-1]); ok && len(withChecksum) > Size {
			t.Errorf("%q: missing last byte not detected", data)
		}
	}
	if _, ok := Verify(make([]byte, Size-1)); ok {
		t.Error("Verify accepts data shorter than a checksum")
	}
}
