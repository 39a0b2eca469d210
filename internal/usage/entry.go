package usage

import (
	"cmp"
	"encoding/binary"
	"encoding/hex"
	"math"
	"slices"
)

// UnitParts is the number of parts into which a unit is divided for counting.
const UnitParts = 1000

// OverflowCustomer is the name under which a recorder counts the usage of customers that exceed its capacity
// or whose names are longer than 64 bytes.
const OverflowCustomer = ""

// Key identifies a customer on a plan.
type Key struct {
	Customer string `json:"Customer"`
	Plan     uint8  `json:"Plan"` // number of the plan in the settings
}

func (k Key) compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Customer, other.Customer), cmp.Compare(k.Plan, other.Plan))
}

// Entry is the usage of one customer on one plan.
type Entry struct {
	Key
	Units uint64 `json:"Units"` // in parts of a unit, see UnitParts
}

// toUnitParts converts units to parts of a unit.
func toUnitParts(units float64) uint64 { return uint64(math.Round(units * UnitParts)) }

// sumByKey sorts entries in place by key, and returns them with the units of the same key added up.
func sumByKey(entries []Entry) (list []Entry) {
	slices.SortFunc(entries, func(a, b Entry) int { return a.compare(b.Key) })
	for _, e := range entries {
		last := len(list) - 1
		if last >= 0 && list[last].Key == e.Key {
			list[last].Units += e.Units
		} else {
			list = append(list, e)
		}
	}
	return list
}

// Format of a packed entry: the length of the name in bytes, the name, the plan, and the units as a varint.
// A name of hexNameDigits lower-case hexadecimal digits, as customers usually have, is encoded as hexNameFlag
// and half as many bytes.
const (
	maxNameBytes  = 64 // see OverflowCustomer
	hexNameDigits = 16
	hexNameFlag   = byte(0x80)
)

// pack packs entries into pages. It returns at least one page.
func pack(entries []Entry) (pages [][]byte) {
	var page []byte
	for _, e := range entries {
		packed := e.append(nil)
		if len(page)+len(packed) > maxPageBytes {
			pages = append(pages, page)
			page = nil
		}
		page = append(page, packed...)
	}
	return append(pages, page)
}

// append appends the packed entry to data.
func (e Entry) append(data []byte) []byte {
	if name, ok := decodeHexName(e.Customer); ok {
		data = append(data, hexNameFlag)
		data = append(data, name...)
	} else {
		data = append(data, byte(len(e.Customer)))
		data = append(data, e.Customer...)
	}
	data = append(data, e.Plan)
	return binary.AppendUvarint(data, e.Units)
}

// decodeHexName decodes a name of hexNameDigits lower-case hexadecimal digits, and reports whether the name is one.
func decodeHexName(customer string) (name []byte, ok bool) {
	if len(customer) != hexNameDigits {
		return nil, false
	}
	name, err := hex.DecodeString(customer)
	return name, err == nil && hex.EncodeToString(name) == customer
}

// unpackFirst unpacks the first entry of data, which must not be empty, and reports whether it is complete.
func unpackFirst(data []byte) (e Entry, rest []byte, ok bool) {
	nameBytes := int(data[0])
	isHex := data[0] == hexNameFlag
	if isHex {
		nameBytes = hexNameDigits / 2
	}
	if nameBytes > maxNameBytes || len(data) < 1+nameBytes+2 {
		return e, nil, false
	}
	name, data := data[1:1+nameBytes], data[1+nameBytes:]
	e.Customer = string(name)
	if isHex {
		e.Customer = hex.EncodeToString(name)
	}
	e.Plan = data[0]
	units, size := binary.Uvarint(data[1:])
	if size <= 0 {
		return e, nil, false
	}
	e.Units = units
	return e, data[1+size:], true
}

// isPacked reports whether data consists of complete entries.
func isPacked(data []byte) bool {
	for len(data) > 0 {
		_, rest, ok := unpackFirst(data)
		if !ok {
			return false
		}
		data = rest
	}
	return true
}

// unpack unpacks the entries of a page, up to the first that is incomplete.
func unpack(data []byte) (list []Entry) {
	for len(data) > 0 {
		e, rest, ok := unpackFirst(data)
		if !ok {
			return list
		}
		list = append(list, e)
		data = rest
	}
	return list
}
