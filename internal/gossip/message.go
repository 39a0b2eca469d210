// Package gossip defines the messages that limiters send each other: transfer requests and grants of
// customers' quotas, and observations of backends. A message fits into one datagram.
//
// A message that is lost, repeated or reordered does no harm: a grant names the request that it replies to
// and counts once, and a receiver drops a message that arrives after one with a later Seq.
//
// Limiters with different versions of the format reject each other's messages. Each then uses its even
// allocation of every quota, and nothing is moved between them.
package gossip

import "time"

// ShuttingDownAge is the ServingAge of a limiter that is shutting down and forwards no new requests.
const ShuttingDownAge = 255

// ServingAgeStep is the unit of ServingAge.
const ServingAgeStep = 250 * time.Millisecond

// Maximum numbers of entries in a message, with which it fits into 256 bytes. The code that builds a Message
// has to keep to them: Append does not check, and Parse rejects a message that is larger.
const (
	MaxRequests     = 5
	MaxGrants       = 5
	MaxObservations = 6
)

// MaxSlots is the maximum number of slots that a field of a message can carry.
const MaxSlots = 255

// UnitParts is the number of parts in a unit. Messages carry integer numbers of parts.
const UnitParts = 16

// Scales of the fields of one byte.
const (
	LevelSteps  = 127 // steps of a Level that are the burst of a quota
	ShareSteps  = 255 // steps of a Share that are a complete bucket
	DemandSteps = 16  // steps of a Demand that are the rate of a quota
	TotalSteps  = 254 // steps of a TotalLevel that are the burst of a quota
	// UnknownTotal is the TotalLevel of a sender that does not know it.
	UnknownTotal = 255
)

// TransferRequest requests units and slots of the receiver, and reports a customer's quota at the sender.
//
// Some fields differ by the kind of set:
//
//	            small set                           to an owner
//	Consumed    consumed by the sender in this      int16: consumed without a grant since the last
//	            epoch, in parts modulo 2^16         request, less what was granted and not used, in parts
//	Demand      at the sender, in DemandSteps       0
//	Level       at the sender, in LevelSteps        0
//	Share       the sender's fraction of the rate   demand at the sender since the last request that was
//	            without loans of the receiver,      not requested, in units
//	            in ShareSteps
//	TotalLevel  of the complete quota as far as     of the owner's quota as far as the sender knows
//	            the sender knows
type TransferRequest struct {
	Customer      uint32 // hash of the customer's name
	Plan          uint8  // index of the customer's plan in the settings
	FirstLimiter  uint16 // the customer's set: SetSize limiters in a row from this one
	SetSize       uint16
	Nonce         uint16 // names the request, not 0; a repeated request has the same
	QuotaWanted   uint16 // of the quota, in parts of a unit
	CeilingWanted uint16 // of the ceiling, in parts of a unit
	Consumed      uint16 // see above
	Demand        uint8  // see above, of the rate
	Level         int8   // see above, of the burst
	Share         uint8  // see above
	SlotsBorrowed uint8  // slots lent by the receiver that the sender still uses
	SlotsWanted   uint8  // slots wanted beyond SlotsBorrowed
	TotalLevel    uint8  // see above, in TotalSteps of the burst, or UnknownTotal
}

// Grant moves units to the receiver and lends a share and slots, and reports a customer's quota at the
// sender.
type Grant struct {
	Customer     uint32 // hash of the customer's name
	Nonce        uint16 // of the request; 0 for a grant that was not requested and only reports
	QuotaUnits   uint16 // of the quota, in parts of a unit
	CeilingUnits uint16 // of the ceiling, in parts of a unit
	Consumed     uint16 // by the sender in this epoch, in parts of a unit modulo 2^16
	Share        uint8  // of the rate and burst of both buckets, lent, in ShareSteps
	Level        int8   // remaining at the sender, in LevelSteps of the burst
	Demand       uint8  // at the sender, in DemandSteps of the rate; of an owner, that of all limiters
	Slots        uint8  // lent in total, those of earlier grants included
	TotalLevel   uint8  // as in a TransferRequest; of an owner, its level
}

// Observation is what the sender knows of a backend.
type Observation struct {
	Backend     uint32 // key of the backend, see BackendKey
	Load        uint8  // relative to other backends: 128 is even, and 16 steps are a factor of two
	FailureRate uint8  // failed part of attempts, in 255ths
	Age         uint8  // of what is observed, in 32nds of the shortest latency objective
}

// backendKeyBits is the number of bits of a backend's hash that an Observation carries.
const backendKeyBits = 24

// BackendKey returns the part of a backend's hash that names it in an Observation.
func BackendKey(hash uint32) uint32 { return hash & (1<<backendKeyBits - 1) }

// Message is what one limiter sends another.
type Message struct {
	Epoch         uint32 // of the sender; a greater one is of a later start
	ReceiverEpoch uint32 // of the receiver as far as the sender knows, else 0
	Seq           uint32 // grows by one with each message to this receiver, modulo 2^32
	Pressure      uint8  // upstream pressure at the sender, in 64ths
	ServingAge    uint8  // for how long client requests have been arriving, in quarters of a second, or ShuttingDownAge
	Requests      []TransferRequest
	Grants        []Grant
	Observations  []Observation
}
