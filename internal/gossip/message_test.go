package gossip

import (
	"reflect"
	"testing"
)

// A message is decoded to what was encoded.
func TestRoundTrip(t *testing.T) {
	m := Message{
		Epoch: 0xdeadbeef, ReceiverEpoch: 0xbeef, Seq: 1 << 31, Pressure: 77, ServingAge: 3,
		Requests:     []TransferRequest{{1, 2, 65535, 300, 3, 1, 9, 65535, 4, -127, 5, 6, 7, 8}, {Customer: 0xffffffff, Level: 127}},
		Grants:       []Grant{{7, 65535, 15, 3, 9, 8, -127, 2, 1, 255}},
		Observations: []Observation{{0xabcdef, 128, 255, 9}},
	}
	got, ok := Parse(m.Append(nil))
	if !ok || !reflect.DeepEqual(got, m) {
		t.Errorf("got %+v %v, want %+v", got, ok, m)
	}
}

// A message with the maximum number of entries fits into 256 bytes. One that is truncated, of another version, or
// with too many entries is rejected.
func TestFullMessageFits(t *testing.T) {
	m := Message{Requests: make([]TransferRequest, MaxRequests), Grants: make([]Grant, MaxGrants), Observations: make([]Observation, MaxObservations)}
	data := m.Append(nil)
	if _, ok := Parse(data); !ok || len(data) > 256 {
		t.Errorf("a message with the maximum number of entries was rejected or exceeds 256 bytes: it has %d bytes", len(data))
	}
	for n := range data {
		if _, ok := Parse(data[:n]); ok {
			t.Errorf("the first %d of %d bytes were accepted", n, len(data))
		}
	}
	for v := range uint8(10) { // in another version the same bytes have another meaning
		data[0] = v
		if _, ok := Parse(data); ok != (v == version) {
			t.Errorf("version %d accepted: %v, want only the current version accepted", v, ok)
		}
	}
	m.Requests = make([]TransferRequest, 3*MaxRequests)
	if _, ok := Parse(m.Append(nil)); ok {
		t.Error("a message with too many entries was accepted")
	}
}

// Data that Parse accepts is encoded to the same bytes again.
func FuzzParse(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{version, 17: 0})
	f.Add(Message{Epoch: 7, Requests: []TransferRequest{{Customer: 2, Plan: 3, Nonce: 4, QuotaWanted: 5, Level: -6}}, Observations: []Observation{{1, 2, 3, 4}}}.Append(nil))
	f.Fuzz(func(t *testing.T, data []byte) {
		if m, ok := Parse(data); ok && string(m.Append(nil)) != string(data) {
			t.Errorf("%x was decoded and encoded as %x, want the same bytes", data, m.Append(nil))
		}
	})
}
