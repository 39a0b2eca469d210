package gossip

import "encoding/binary"

// A message is a header, the requests, the grants and the observations, each of a fixed size in bytes and
// with its fields in the order of the struct. Numbers are big-endian.
const (
	// version is to be raised with each change of the layout or of the meaning of a field.
	version         = 6
	headerSize      = 18
	requestSize     = 23
	grantSize       = 17
	observationSize = 6
	// maxMessageSize bounds the messages that Parse accepts: one with the maximum numbers of entries has 254 bytes.
	maxMessageSize = 256
)

// Append appends the encoded message to data. The message has at most MaxRequests, MaxGrants and
// MaxObservations entries; Append does not check that.
func (m Message) Append(data []byte) []byte {
	data = m.appendHeader(data)
	for _, request := range m.Requests {
		data = request.append(data)
	}
	for _, grant := range m.Grants {
		data = grant.append(data)
	}
	for _, observation := range m.Observations {
		data = observation.append(data)
	}
	return data
}

func (m Message) appendHeader(data []byte) []byte {
	data = append(data, version)
	data = binary.BigEndian.AppendUint32(data, m.Epoch)
	data = binary.BigEndian.AppendUint32(data, m.ReceiverEpoch)
	data = binary.BigEndian.AppendUint32(data, m.Seq)
	data = append(data, m.Pressure, m.ServingAge)
	return append(data, uint8(len(m.Requests)), uint8(len(m.Grants)), uint8(len(m.Observations)))
}

func (r TransferRequest) append(data []byte) []byte {
	data = binary.BigEndian.AppendUint32(data, r.Customer)
	data = append(data, r.Plan)
	data = appendUint16s(data, r.FirstLimiter, r.SetSize, r.Nonce, r.QuotaWanted, r.CeilingWanted, r.Consumed)
	return append(data, r.Demand, uint8(r.Level), r.Share, r.SlotsBorrowed, r.SlotsWanted, r.TotalLevel)
}

func (g Grant) append(data []byte) []byte {
	data = binary.BigEndian.AppendUint32(data, g.Customer)
	data = appendUint16s(data, g.Nonce, g.QuotaUnits, g.CeilingUnits, g.Consumed)
	return append(data, g.Share, uint8(g.Level), g.Demand, g.Slots, g.TotalLevel)
}

func (o Observation) append(data []byte) []byte {
	data = append(data, uint8(o.Backend>>16), uint8(o.Backend>>8), uint8(o.Backend))
	return append(data, o.Load, o.FailureRate, o.Age)
}

func appendUint16s(data []byte, values ...uint16) []byte {
	for _, v := range values {
		data = binary.BigEndian.AppendUint16(data, v)
	}
	return data
}
