package gossip

import (
	"encoding/hex"
	"reflect"
	"testing"

	"lemongate/internal/golden"
)

// A message that release 0.8.0 encoded is decoded to what it was encoded from, and encoded to the same
// bytes.
func TestFormatOfEarlierRelease(t *testing.T) {
	var m Message
	(&golden.Filler{}).Fill(&m)
	golden.Equal(t, "message.hex", []byte(hex.EncodeToString(m.Append(nil))+"\n"))
	data, err := hex.DecodeString(string(golden.Read(t, "message.hex")[:2*len(m.Append(nil))]))
	if err != nil {
		t.Fatal(err)
	}
	if got, ok := Parse(data); !ok || !reflect.DeepEqual(got, m) {
		t.Errorf("decoded as %+v, want %+v", got, m)
	}
}
