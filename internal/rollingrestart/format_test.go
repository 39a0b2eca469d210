package rollingrestart

import (
	"encoding/hex"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"lemongate/internal/golden"
)

// Messages of each kind that 0.8.0 encoded are decoded to the original values, which are encoded to the same
// bytes.
func TestFormatOfEarlierRelease(t *testing.T) {
	var b strings.Builder
	var sent []Message
	for kind := range numKinds {
		m := Message{}
		(&golden.Filler{Pattern: int(kind) % 2}).Fill(&m)
		m.Kind, m.ValidFor = kind, 1234*time.Millisecond
		sent = append(sent, m)
		fmt.Fprintf(&b, "%d %x\n", kind, m.Append(nil))
	}
	golden.Equal(t, "messages.txt", []byte(b.String()))
	for i, line := range strings.Split(strings.TrimSpace(string(golden.Read(t, "messages.txt"))), "\n") {
		_, encoded, _ := strings.Cut(line, " ")
		data, err := hex.DecodeString(encoded)
		if err != nil {
			t.Fatal(err)
		}
		if got, ok := Parse(data); !ok || !reflect.DeepEqual(got, sent[i]) {
			t.Errorf("decoded %+v, want %+v", got, sent[i])
		}
	}
	slots := []Limiter{3, 511 - 2, 0}
	golden.Equal(t, "mark.txt", fmt.Appendf(nil, "%d\n", nextPayload(nextPayload(0, nil), slots)))
	if got := DecodePayload(nextPayload(0, slots)); !reflect.DeepEqual(got, slots) {
		t.Errorf("limiters decoded from a payload: %v, want %v", got, slots)
	}
}
