package eventloop

import (
	"encoding/binary"
	"time"

	"lemongate/internal/admission"
	"lemongate/internal/core"
	"lemongate/internal/hotrestart"
	"lemongate/internal/hotrestart/link"
	"lemongate/internal/lease"
	"lemongate/internal/memento"
	"lemongate/internal/usage"
)

// This file defines the format of the state that a predecessor hands over: the body of Transfer.

// initTransferCodecs makes the codecs analyze the types of a handover state in advance. Otherwise they would do so
// in a hot restart, when the state is encoded or decoded and no process admits requests.
func initTransferCodecs() {
	admission.PrepareSnapshots()
	body, _ := frameCodec.Marshal(newStateFrame(core.HandoverState{})) // an empty state can be encoded
	_ = decodeTransfer(link.Frame{Body: body})                         // the decoded state is empty
}

// stateFrame encodes a core.HandoverState. It is the body of Transfer.
type stateFrame struct {
	Now            time.Duration         `json:"Now"`
	Controller     []byte                `json:"Gate"`
	Endpoints      []endpointFrame       `json:"Entries"`
	Generation     int64                 `json:"Generation"`
	Discovery      string                `json:"Source"`
	LastRequest    core.RequestID        `json:"Last"`
	OpenAttempts   []attemptStartedFrame `json:"Out"`
	Usage          *usage.RecorderState  `json:"Use"`
	LeaseAcceptors []lease.AcceptorState `json:"Keepers"`
	UsedCallIDs    usedCallIDsFrame      `json:"UsedIDs,omitempty" since:"0.9.5"`
}

// usedCallIDsFrame encodes a list of core.UsedCallID. It is binary, as the list may be long and nobody admits requests while it
// is transferred.
type usedCallIDsFrame []byte

// usedCallIDBytes is the length of an ID in usedCallIDsFrame.
const usedCallIDBytes = len(core.CallIDHash{}) + 8

// endpointFrame encodes a core.Endpoint.
type endpointFrame struct {
	ID               string                 `json:"ID"`
	Zone             string                 `json:"Zone"`
	Cell             int                    `json:"Cell"`
	State            admission.BackendState `json:"State"`
	RelativeCapacity float64                `json:"Size"`
	StartedAt        time.Duration          `json:"Started"`
	Addr             string                 `json:"Addr"`
}

func newEndpointFrame(e core.Endpoint) endpointFrame {
	return endpointFrame{
		ID:               e.ID,
		Zone:             e.Zone,
		Cell:             e.Cell,
		State:            e.State,
		RelativeCapacity: e.RelativeCapacity,
		StartedAt:        e.StartedAt,
		Addr:             e.Addr,
	}
}

func (f endpointFrame) endpoint() core.Endpoint {
	return core.Endpoint{
		Backend: admission.Backend{
			ID:               f.ID,
			Zone:             f.Zone,
			Cell:             f.Cell,
			State:            f.State,
			RelativeCapacity: f.RelativeCapacity,
			StartedAt:        f.StartedAt,
		},
		Addr: f.Addr,
	}
}

// newUsedCallIDsFrame encodes IDs as their hashes, each followed by its time in ns.
func newUsedCallIDsFrame(ids []core.UsedCallID) usedCallIDsFrame {
	var data usedCallIDsFrame
	for _, id := range ids {
		data = append(data, id.Hash[:]...)
		data = binary.BigEndian.AppendUint64(data, uint64(id.Until))
	}
	return data
}

func (f usedCallIDsFrame) callIDs() (ids []core.UsedCallID) {
	for ; len(f) >= usedCallIDBytes; f = f[usedCallIDBytes:] {
		hash := core.CallIDHash(f)
		until := binary.BigEndian.Uint64(f[len(hash):])
		ids = append(ids, core.UsedCallID{Hash: hash, Until: time.Duration(until)})
	}
	return ids
}

func newStateFrame(s core.HandoverState) stateFrame {
	return stateFrame{
		Now:            s.Now,
		Controller:     s.Controller,
		Endpoints:      memento.List(s.Endpoints, newEndpointFrame),
		Generation:     s.Generation,
		Discovery:      s.Discovery,
		LastRequest:    s.LastRequest,
		OpenAttempts:   memento.List(s.OpenAttempts, newAttemptStartedFrame),
		Usage:          s.Usage,
		LeaseAcceptors: s.LeaseAcceptors,
		UsedCallIDs:    newUsedCallIDsFrame(s.UsedCallIDs),
	}
}

func (f stateFrame) state() core.HandoverState {
	return core.HandoverState{
		Now:            f.Now,
		Controller:     f.Controller,
		Endpoints:      memento.List(f.Endpoints, endpointFrame.endpoint),
		Generation:     f.Generation,
		Discovery:      f.Discovery,
		LastRequest:    f.LastRequest,
		OpenAttempts:   memento.List(f.OpenAttempts, attemptStartedFrame.attempt),
		Usage:          f.Usage,
		LeaseAcceptors: f.LeaseAcceptors,
		UsedCallIDs:    f.UsedCallIDs.callIDs(),
	}
}

// decodeTransfer returns the event of a Transfer. A state that cannot be decoded is left out of the event, and the
// successor takes over without it.
func decodeTransfer(f link.Frame) core.Event {
	ev := &core.LinkMessageReceived{Kind: hotrestart.Transfer, Sockets: f.Sockets}
	body, err := unmarshal[stateFrame](f)
	if err == nil {
		state := body.state()
		ev.State = &state
	}
	return ev
}
