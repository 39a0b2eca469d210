package gossip

import "encoding/binary"

// Parse decodes a message, and reports whether the data is a complete message of this version.
func Parse(data []byte) (Message, bool) {
	if len(data) < headerSize || len(data) > maxMessageSize || data[0] != version {
		return Message{}, false
	}
	d := decoder{data: data[1:]}
	m := d.header()
	requests, grants, observations := int(d.uint8()), int(d.uint8()), int(d.uint8())
	if len(d.data) != requests*requestSize+grants*grantSize+observations*observationSize {
		return Message{}, false
	}
	for range requests {
		m.Requests = append(m.Requests, d.request())
	}
	for range grants {
		m.Grants = append(m.Grants, d.grant())
	}
	for range observations {
		m.Observations = append(m.Observations, d.observation())
	}
	return m, true
}

// decoder takes numbers from the start of its data, which has to be long enough.
type decoder struct{ data []byte }

// header decodes the header of a message, except for the numbers of its requests, grants and observations.
func (d *decoder) header() Message {
	return Message{
		Epoch:         d.uint32(),
		ReceiverEpoch: d.uint32(),
		Seq:           d.uint32(),
		Pressure:      d.uint8(),
		ServingAge:    d.uint8(),
	}
}

func (d *decoder) request() TransferRequest {
	return TransferRequest{
		Customer:      d.uint32(),
		Plan:          d.uint8(),
		FirstLimiter:  d.uint16(),
		SetSize:       d.uint16(),
		Nonce:         d.uint16(),
		QuotaWanted:   d.uint16(),
		CeilingWanted: d.uint16(),
		Consumed:      d.uint16(),
		Demand:        d.uint8(),
		Level:         int8(d.uint8()),
		Share:         d.uint8(),
		SlotsBorrowed: d.uint8(),
		SlotsWanted:   d.uint8(),
		TotalLevel:    d.uint8(),
	}
}

func (d *decoder) grant() Grant {
	return Grant{
		Customer:     d.uint32(),
		Nonce:        d.uint16(),
		QuotaUnits:   d.uint16(),
		CeilingUnits: d.uint16(),
		Consumed:     d.uint16(),
		Share:        d.uint8(),
		Level:        int8(d.uint8()),
		Demand:       d.uint8(),
		Slots:        d.uint8(),
		TotalLevel:   d.uint8(),
	}
}

func (d *decoder) observation() Observation {
	return Observation{
		Backend:     d.uint24(),
		Load:        d.uint8(),
		FailureRate: d.uint8(),
		Age:         d.uint8(),
	}
}

func (d *decoder) uint8() uint8 {
	v := d.data[0]
	d.data = d.data[1:]
	return v
}

func (d *decoder) uint16() uint16 {
	v := binary.BigEndian.Uint16(d.data)
	d.data = d.data[2:]
	return v
}

func (d *decoder) uint24() uint32 {
	return uint32(d.uint8())<<16 | uint32(d.uint16())
}

func (d *decoder) uint32() uint32 {
	v := binary.BigEndian.Uint32(d.data)
	d.data = d.data[4:]
	return v
}
