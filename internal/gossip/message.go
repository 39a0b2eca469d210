// Package gossip packs what limiters tell each other: rights on customers'
// stores that are asked for and moved, and a digest of what was seen of
// backends.
//
// A lost, repeated or overtaken message does no harm: an answer names the ask
// that it answers, and counts once; what a receiver takes in comes in the order
// of Seq, or not at all.
//
// A limiter that speaks an older version is not understood and does not
// understand. It keeps to the equal part of each ceiling that it would also
// hold by this version, and no part is moved to it.
package gossip

import "encoding/binary"

const (
	version         = 6
	headSize        = 18
	requestSize     = 23
	grantSize       = 17
	observationSize = 6
	maxSize         = 256
)

// LeavingAge stands for the age of a limiter that sends on nothing new any longer.
const LeavingAge = 255

// Most entries of each kind in one message; all together fit.
const (
	MaxRequests     = 5
	MaxGrants       = 5
	MaxObservations = 6
)

// UnitParts is the unit of amounts: sixteenths of a quota's unit.
const UnitParts = 16

// Scales of the small fields.
const (
	LevelSteps   = 127 // of the burst
	ShareSteps   = 255 // of the whole store
	DemandSteps  = 16  // of the rate
	TotalSteps   = 254 // of the burst
	UnknownTotal = 255 // stands for a whole that the sender does not know
)

// An TransferRequest tells how a customer stands at the sender, and what it would like. Of a
// customer with a home Drawn is an int16: what was sent on without a word since the
// last ask, below 0 what comes back; Share is the units asked for there since then
// and not asked of the home; Demand and Level are not told.
type TransferRequest struct {
	Customer      uint32 // hash of its name
	Plan          uint8  // place in the settings
	FirstLimiter  uint16 // the customer's set: Size limiters in a row from First
	SetSize       uint16
	Nonce         uint16 // names the ask; a repeat has the same
	QuotaWanted   uint16 // parts of the quota's store
	CeilingWanted uint16 // parts of the ceiling's store
	Consumed      uint16 // parts sent on there in this epoch, modulo 2^16; see below
	Demand        uint8  // units a second asked for there, in DemandSteps of the rate
	Level         int8   // of the store there, in LevelSteps of the burst
	Share         uint8  // of the rate there, in ShareSteps
	SlotsHeld     uint8  // places of the receiver's that it still uses
	SlotsWanted   uint8  // more places that it would like
	TotalLevel    uint8  // of the true store as far as the sender knows, in WholeSteps of the burst; Unknown
}

// An Grant moves rights to the asker.
type Grant struct {
	Customer     uint32
	Nonce        uint16 // of the ask
	QuotaUnits   uint16 // parts of the quota's store that are the asker's now
	CeilingUnits uint16 // parts of the ceiling's store, likewise
	Consumed     uint16 // parts sent on at the sender in this epoch, modulo 2^16
	Share        uint8  // of the rate and size of both, on lease, in ShareSteps
	Level        int8   // left at the sender, in LevelSteps of the burst
	Demand       uint8  // there, in DemandSteps of the rate
	Slots        uint8  // places that are lent
	TotalLevel   uint8  // as in an Ask
}

// A Observation is what is known of a backend.
type Observation struct {
	Backend     uint32 // hash of its ID, of which 24 bits are told: see Key
	Load        uint8  // against its fellows, 16 to the octave around 128
	FailureRate uint8  // share of failures, in 255ths
	Age         uint8  // in parts of the shortest aim, see the policy
}

// BackendKey is the part of a backend's hash that a Sight has room for. Among 200 backends
// two share one in a fleet of 800; of 16 bits they would in one of four.
func BackendKey(hash uint32) uint32 { return hash & (1<<24 - 1) }

// A Message is what one limiter tells another. A later epoch means a new start.
type Message struct {
	Epoch         uint32
	ReceiverEpoch uint32 // the receiver's epoch, as far as known
	Seq           uint32 // grows by one with each message to this receiver
	Pressure      uint8  // what attempts take, in 64ths of their part of the aim
	ServingAge    uint8  // how long reqs have been coming there, in quarters of a second; Left
	Requests      []TransferRequest
	Grants        []Grant
	Observations  []Observation
}

// Append adds the packed message to data.
func (m Message) Append(data []byte) []byte {
	be := binary.BigEndian
	data = be.AppendUint32(be.AppendUint32(be.AppendUint32(append(data, version), m.Epoch), m.ReceiverEpoch), m.Seq)
	data = append(data, m.Pressure, m.ServingAge, uint8(len(m.Requests)), uint8(len(m.Grants)), uint8(len(m.Observations)))
	for _, a := range m.Requests {
		data = append(be.AppendUint32(data, a.Customer), a.Plan)
		data = be.AppendUint16(be.AppendUint16(data, a.FirstLimiter), a.SetSize)
		data = be.AppendUint16(be.AppendUint16(be.AppendUint16(be.AppendUint16(data, a.Nonce), a.QuotaWanted), a.CeilingWanted), a.Consumed)
		data = append(data, a.Demand, uint8(a.Level), a.Share, a.SlotsHeld, a.SlotsWanted, a.TotalLevel)
	}
	for _, a := range m.Grants {
		data = be.AppendUint32(data, a.Customer)
		data = be.AppendUint16(be.AppendUint16(be.AppendUint16(be.AppendUint16(data, a.Nonce), a.QuotaUnits), a.CeilingUnits), a.Consumed)
		data = append(data, a.Share, uint8(a.Level), a.Demand, a.Slots, a.TotalLevel)
	}
	for _, s := range m.Observations {
		data = append(data, uint8(s.Backend>>16), uint8(s.Backend>>8), uint8(s.Backend), s.Load, s.FailureRate, s.Age)
	}
	return data
}

// Parse unpacks a message and tells whether it is one.
func Parse(data []byte) (Message, bool) {
	if len(data) < headSize || len(data) > maxSize || data[0] != version {
		return Message{}, false
	}
	be := binary.BigEndian
	asks, answers, sights := int(data[15]), int(data[16]), int(data[17])
	if len(data) != headSize+asks*requestSize+answers*grantSize+sights*observationSize {
		return Message{}, false
	}
	m := Message{
		Epoch: be.Uint32(data[1:]), ReceiverEpoch: be.Uint32(data[5:]), Seq: be.Uint32(data[9:]), Pressure: data[13], ServingAge: data[14],
	}
	data = data[headSize:]
	for range asks {
		m.Requests = append(m.Requests, TransferRequest{
			Customer: be.Uint32(data), Plan: data[4], FirstLimiter: be.Uint16(data[5:]), SetSize: be.Uint16(data[7:]),
			Nonce: be.Uint16(data[9:]), QuotaWanted: be.Uint16(data[11:]), CeilingWanted: be.Uint16(data[13:]),
			Consumed: be.Uint16(data[15:]), Demand: data[17], Level: int8(data[18]), Share: data[19], SlotsHeld: data[20], SlotsWanted: data[21], TotalLevel: data[22],
		})
		data = data[requestSize:]
	}
	for range answers {
		m.Grants = append(m.Grants, Grant{
			Customer: be.Uint32(data), Nonce: be.Uint16(data[4:]), QuotaUnits: be.Uint16(data[6:]),
			CeilingUnits: be.Uint16(data[8:]), Consumed: be.Uint16(data[10:]),
			Share: data[12], Level: int8(data[13]), Demand: data[14], Slots: data[15], TotalLevel: data[16],
		})
		data = data[grantSize:]
	}
	for range sights {
		m.Observations = append(m.Observations, Observation{
			Backend: uint32(data[0])<<16 | uint32(be.Uint16(data[1:])), Load: data[3], FailureRate: data[4], Age: data[5],
		})
		data = data[observationSize:]
	}
	return m, true
}
