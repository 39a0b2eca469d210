// Package peermsg packs what limiters tell each other: rights on customers'
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
package peermsg

import "encoding/binary"

const (
	version    = 6
	headSize   = 18
	askSize    = 23
	answerSize = 17
	sightSize  = 6
	maxSize    = 256
)

// Left stands for the age of a limiter that sends on nothing new any longer.
const Left = 255

// Most entries of each kind in one message; all together fit.
const (
	MaxAsks    = 5
	MaxAnswers = 5
	MaxSights  = 6
)

// Part is the unit of amounts: sixteenths of a quota's unit.
const Part = 16

// Scales of the small fields.
const (
	LevelSteps  = 127 // of the burst
	ShareSteps  = 255 // of the whole store
	DemandSteps = 16  // of the rate
	WholeSteps  = 254 // of the burst
	Unknown     = 255 // stands for a whole that the sender does not know
)

// An Ask tells how a customer stands at the sender, and what it would like. Of a
// customer with a home Drawn is an int16: what was sent on without a word since the
// last ask, below 0 what comes back; Share is the units asked for there since then
// and not asked of the home; Demand and Level are not told.
type Ask struct {
	Customer uint32 // hash of its name
	Plan     uint8  // place in the settings
	First    uint16 // the customer's set: Size limiters in a row from First
	Size     uint16
	Nonce    uint16 // names the ask; a repeat has the same
	Want     uint16 // parts of the quota's store
	Over     uint16 // parts of the ceiling's store
	Drawn    uint16 // parts sent on there in this epoch, modulo 2^16; see below
	Demand   uint8  // units a second asked for there, in DemandSteps of the rate
	Level    int8   // of the store there, in LevelSteps of the burst
	Share    uint8  // of the rate there, in ShareSteps
	Held     uint8  // places of the receiver's that it still uses
	Places   uint8  // more places that it would like
	Whole    uint8  // of the true store as far as the sender knows, in WholeSteps of the burst; Unknown
}

// An Answer moves rights to the asker.
type Answer struct {
	Customer uint32
	Nonce    uint16 // of the ask
	Units    uint16 // parts of the quota's store that are the asker's now
	Over     uint16 // parts of the ceiling's store, likewise
	Drawn    uint16 // parts sent on at the sender in this epoch, modulo 2^16
	Share    uint8  // of the rate and size of both, on lease, in ShareSteps
	Level    int8   // left at the sender, in LevelSteps of the burst
	Demand   uint8  // there, in DemandSteps of the rate
	Places   uint8  // places that are lent
	Whole    uint8  // as in an Ask
}

// A Sight is what is known of a backend.
type Sight struct {
	Backend uint32 // hash of its ID, of which 24 bits are told: see Key
	Load    uint8  // against its fellows, 16 to the octave around 128
	Fails   uint8  // share of failures, in 255ths
	Age     uint8  // in parts of the shortest aim, see the policy
}

// Key is the part of a backend's hash that a Sight has room for. Among 200 backends
// two share one in a fleet of 800; of 16 bits they would in one of four.
func Key(hash uint32) uint32 { return hash & (1<<24 - 1) }

// A Message is what one limiter tells another. A later epoch means a new start.
type Message struct {
	Epoch   uint32
	You     uint32 // the receiver's epoch, as far as known
	Seq     uint32 // grows by one with each message to this receiver
	Strain  uint8  // what attempts take, in 64ths of their part of the aim
	Age     uint8  // how long reqs have been coming there, in quarters of a second; Left
	Asks    []Ask
	Answers []Answer
	Sights  []Sight
}

// Append adds the packed message to data.
func (m Message) Append(data []byte) []byte {
	be := binary.BigEndian
	data = be.AppendUint32(be.AppendUint32(be.AppendUint32(append(data, version), m.Epoch), m.You), m.Seq)
	data = append(data, m.Strain, m.Age, uint8(len(m.Asks)), uint8(len(m.Answers)), uint8(len(m.Sights)))
	for _, a := range m.Asks {
		data = append(be.AppendUint32(data, a.Customer), a.Plan)
		data = be.AppendUint16(be.AppendUint16(data, a.First), a.Size)
		data = be.AppendUint16(be.AppendUint16(be.AppendUint16(be.AppendUint16(data, a.Nonce), a.Want), a.Over), a.Drawn)
		data = append(data, a.Demand, uint8(a.Level), a.Share, a.Held, a.Places, a.Whole)
	}
	for _, a := range m.Answers {
		data = be.AppendUint32(data, a.Customer)
		data = be.AppendUint16(be.AppendUint16(be.AppendUint16(be.AppendUint16(data, a.Nonce), a.Units), a.Over), a.Drawn)
		data = append(data, a.Share, uint8(a.Level), a.Demand, a.Places, a.Whole)
	}
	for _, s := range m.Sights {
		data = append(data, uint8(s.Backend>>16), uint8(s.Backend>>8), uint8(s.Backend), s.Load, s.Fails, s.Age)
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
	if len(data) != headSize+asks*askSize+answers*answerSize+sights*sightSize {
		return Message{}, false
	}
	m := Message{
		Epoch: be.Uint32(data[1:]), You: be.Uint32(data[5:]), Seq: be.Uint32(data[9:]), Strain: data[13], Age: data[14],
	}
	data = data[headSize:]
	for range asks {
		m.Asks = append(m.Asks, Ask{
			Customer: be.Uint32(data), Plan: data[4], First: be.Uint16(data[5:]), Size: be.Uint16(data[7:]),
			Nonce: be.Uint16(data[9:]), Want: be.Uint16(data[11:]), Over: be.Uint16(data[13:]),
			Drawn: be.Uint16(data[15:]), Demand: data[17], Level: int8(data[18]), Share: data[19], Held: data[20], Places: data[21], Whole: data[22],
		})
		data = data[askSize:]
	}
	for range answers {
		m.Answers = append(m.Answers, Answer{
			Customer: be.Uint32(data), Nonce: be.Uint16(data[4:]), Units: be.Uint16(data[6:]),
			Over: be.Uint16(data[8:]), Drawn: be.Uint16(data[10:]),
			Share: data[12], Level: int8(data[13]), Demand: data[14], Places: data[15], Whole: data[16],
		})
		data = data[answerSize:]
	}
	for range sights {
		m.Sights = append(m.Sights, Sight{
			Backend: uint32(data[0])<<16 | uint32(be.Uint16(data[1:])), Load: data[3], Fails: data[4], Age: data[5],
		})
		data = data[sightSize:]
	}
	return m, true
}
