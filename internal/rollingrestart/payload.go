package rollingrestart

// The payload of the lease, 64 bits: a field for each slot, and above them a sequence number, so that each
// payload is greater than those before it. A field is zero for a free slot, else the number of the limiter plus one.
const (
	// MaxSlots is the maximum number of slots.
	MaxSlots = 4
	// MaxLimiters is the maximum number of limiters in a tier, so that their numbers fit into a slot's field.
	MaxLimiters = slotMask - 1

	slotBits      = 9
	slotMask      = 1<<slotBits - 1
	sequenceShift = MaxSlots * slotBits
)

// DecodePayload returns the limiters that have a slot in a payload.
func DecodePayload(payload uint64) (restarting []Limiter) {
	for index := range MaxSlots {
		field := payload >> (index * slotBits) & slotMask
		if field > 0 {
			restarting = append(restarting, Limiter(field-1))
		}
	}
	return restarting
}

// nextPayload returns the payload that follows the given one, with the given limiters restarting.
func nextPayload(payload uint64, restarting []Limiter) uint64 {
	sequence := payload>>sequenceShift + 1
	next := sequence << sequenceShift
	for index, n := range restarting {
		next |= (uint64(n) + 1) << (index * slotBits)
	}
	return next
}
