package eventloop

import (
	"testing"

	"lemongate/internal/hotrestart"
	"lemongate/internal/hotrestart/link"
)

// Whatever the other process sends is decoded as an event, or is an error.
func FuzzDecode(f *testing.F) {
	for k := range uint8(frameClientConn + 2) {
		f.Add(k, []byte(`{"ID":7,"Class":"read","Budget":5,"Content":{"Method":"GET","Body":"eA=="},"Reply":{"Type":"t"},"Kind":0}`))
	}
	f.Add(uint8(hotrestart.Transfer), []byte(`{"Now":1,"Entries":[{"ID":"b","Addr":"h:1"}],"Out":[{"Attempt":1}]}`))
	f.Fuzz(func(t *testing.T, kind uint8, body []byte) {
		ev, err := decode(link.Frame{Kind: kind, Body: body})
		if (ev == nil) == (err == nil) && kind != frameClientConn {
			t.Errorf("%v, %v", ev, err)
		}
	})
}
