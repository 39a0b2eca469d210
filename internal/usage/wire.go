package usage

import (
	"encoding/binary"
	"encoding/hex"

	"lemongate/internal/checksum"
)

// Datagrams of the roll-up begin with a byte that is no version of the limiters' other messages.
const (
	magic           = 'U'
	pageRequestSize = 25
	pageHead        = 18
	maxNameBytes    = 64
	maxSize         = 256        // of a datagram
	hexName         = 16         // digits of a usual customer's name, which go as half as many bytes
	hexNameFlag     = byte(0x80) // in the byte of a name's length
	checkLen        = checksum.Size
	room            = maxSize - pageHead - checkLen
)

const (
	kindPageRequest byte = iota
	kindPage
	kindPendingReport
)

// A PageRequest asks a limiter for a page of a period.
type PageRequest struct {
	Period          uint32
	Page            uint16
	ReportedUpTo    uint32 // all up to this period is written
	Token           uint64 // of the holder's lease
	KnowsAllReports bool   // what is closed and not done is in no line: it goes along
	MayBeReported   bool   // there may be a line of this period: who has it not closed leaves it alone
}

// An PendingReport is the answer of a limiter that has an earlier period closed, to a holder that does not
// know whether there is a line of it.
type PendingReport struct{ Period uint32 }

// A Page is an answer.
type Page struct {
	Period      uint32
	Incarnation uint32 // of the limiter that tells
	FirstPeriod uint32 // the first period that it covers; 0 for the start of that life
	Page        uint16
	Pages       uint16
	Entries     []byte // packed
}

// IsMessage tells whether a datagram is one of the roll-up.
func IsMessage(data []byte) bool { return len(data) > 0 && data[0] == magic }

// payload gives what a datagram holds between its kind and its seal.
func payload(data []byte, kind byte) ([]byte, bool) {
	if len(data) < 2+checkLen || len(data) > maxSize || data[0] != magic || data[1] != kind {
		return nil, false
	}
	whole, ok := checksum.Verify(data)
	return whole[2:], ok
}

// Append adds the packed message to data.
func (p PageRequest) Append(data []byte) []byte {
	be := binary.BigEndian
	data = be.AppendUint16(be.AppendUint32(append(data, magic, kindPageRequest), p.Period), p.Page)
	flags := byte(0)
	if p.KnowsAllReports {
		flags |= 1
	}
	if p.MayBeReported {
		flags |= 2
	}
	return checksum.Append(append(be.AppendUint64(be.AppendUint32(data, p.ReportedUpTo), p.Token), flags))
}

// Append adds the packed message to data.
func (o PendingReport) Append(data []byte) []byte {
	return checksum.Append(binary.BigEndian.AppendUint32(append(data, magic, kindPendingReport), o.Period))
}

// ParsePendingReport unpacks one and tells whether it is one.
func ParsePendingReport(data []byte) (o PendingReport, ok bool) {
	data, ok = payload(data, kindPendingReport)
	if !ok || len(data) != 4 {
		return o, false
	}
	return PendingReport{binary.BigEndian.Uint32(data)}, true
}

// ParsePageRequest unpacks an ask and tells whether it is one.
func ParsePageRequest(data []byte) (p PageRequest, ok bool) {
	data, ok = payload(data, kindPageRequest)
	if !ok || len(data) != pageRequestSize-2-checkLen || data[18] > 3 {
		return p, false
	}
	be := binary.BigEndian
	return PageRequest{be.Uint32(data), be.Uint16(data[4:]), be.Uint32(data[6:]), be.Uint64(data[10:]), data[18]&1 > 0, data[18]&2 > 0}, true
}

// Append adds the packed message to data.
func (p Page) Append(data []byte) []byte {
	be := binary.BigEndian
	data = be.AppendUint32(be.AppendUint32(be.AppendUint32(append(data, magic, kindPage), p.Period), p.Incarnation), p.FirstPeriod)
	data = be.AppendUint16(be.AppendUint16(data, p.Page), p.Pages)
	return checksum.Append(append(data, p.Entries...))
}

// ParsePage unpacks a page and tells whether it is one: each entry is whole.
func ParsePage(data []byte) (p Page, ok bool) {
	data, ok = payload(data, kindPage)
	if !ok || len(data) < pageHead-2 {
		return p, false
	}
	be := binary.BigEndian
	p = Page{
		Period: be.Uint32(data), Incarnation: be.Uint32(data[4:]), FirstPeriod: be.Uint32(data[8:]),
		Page: be.Uint16(data[12:]), Pages: be.Uint16(data[14:]), Entries: data[16:],
	}
	return p, p.Page < p.Pages && complete(p.Entries)
}

// pack puts entries into pages, one at least.
func pack(entries []Entry) (pages [][]byte) {
	var now []byte
	for _, e := range entries {
		data := e.append(nil)
		if len(now)+len(data) > room {
			pages, now = append(pages, now), nil
		}
		now = append(now, data...)
	}
	return append(pages, now)
}

func (e Entry) append(data []byte) []byte {
	if name, err := hex.DecodeString(e.Customer); err == nil && len(e.Customer) == hexName && hex.EncodeToString(name) == e.Customer {
		data = append(append(data, hexNameFlag), name...)
	} else {
		data = append(append(data, byte(len(e.Customer))), e.Customer...)
	}
	return binary.AppendUvarint(append(data, e.Plan), e.Units)
}

// next takes an entry off the front.
func next(data []byte) (e Entry, rest []byte, ok bool) {
	n := int(data[0])
	if data[0] == hexNameFlag {
		n = hexName / 2
	} else if n > maxNameBytes {
		return e, nil, false
	}
	if len(data) < 1+n+2 {
		return e, nil, false
	}
	if e.Customer = string(data[1 : 1+n]); data[0] == hexNameFlag {
		e.Customer = hex.EncodeToString(data[1 : 1+n])
	}
	e.Plan = data[1+n]
	units, size := binary.Uvarint(data[2+n:])
	e.Units = units
	if size <= 0 {
		return e, nil, false
	}
	return e, data[2+n+size:], true
}

// complete tells whether data are entries to the end.
func complete(data []byte) bool {
	for ok := true; len(data) > 0; {
		if _, data, ok = next(data); !ok {
			return false
		}
	}
	return true
}

// unpack gives the entries of a page that is whole.
func unpack(data []byte) (list []Entry) {
	for len(data) > 0 {
		e, rest, ok := next(data)
		if !ok {
			return list
		}
		list, data = append(list, e), rest
	}
	return list
}
