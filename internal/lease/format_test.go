package lease

import (
	"encoding/hex"
	"fmt"
	"strings"
	"testing"

	jsoniter "github.com/json-iterator/go"

	"lemongate/internal/golden"
)

// Messages of each kind that 0.8.0 encoded are decoded to the original values, which are encoded to the same
// bytes.
func TestFormatOfEarlierRelease(t *testing.T) {
	var b strings.Builder
	var sent []Message
	for kind := range NumKinds {
		m := Message{}
		(&golden.Filler{Pattern: int(kind) % 2}).Fill(&m)
		m.Kind = kind
		sent = append(sent, m)
		fmt.Fprintf(&b, "%v %x\n", kind, m.Append(nil))
	}
	golden.Equal(t, "messages.txt", []byte(b.String()))
	for i, line := range strings.Split(strings.TrimSpace(string(golden.Read(t, "messages.txt"))), "\n") {
		_, encoded, _ := strings.Cut(line, " ")
		data, err := hex.DecodeString(encoded)
		if err != nil {
			t.Fatal(err)
		}
		if got, ok := Parse(data); !ok || got != sent[i] {
			t.Errorf("decoded %+v, want %+v", got, sent[i])
		}
	}
}

// viewCodec encodes views as internal/admin does.
var viewCodec = jsoniter.ConfigDefault

// The view of a lease has the fields that scripts read.
func TestViewOfEarlierRelease(t *testing.T) {
	for pattern := range 2 {
		var v View
		(&golden.Filler{Pattern: pattern}).Fill(&v)
		data, err := viewCodec.Marshal([]View{v})
		if err != nil {
			t.Fatal(err)
		}
		golden.Equal(t, fmt.Sprintf("view-%d.json", pattern), data)
	}
}

// The phases of a proposer have the names that they had in 0.8.0.
func TestPhaseNamesOfEarlierRelease(t *testing.T) {
	var names []byte
	for phase := Idle; phase <= Proposing; phase++ {
		names = fmt.Appendf(names, "%v\n", phase)
	}
	golden.Equal(t, "phases.txt", names)
}
