package usage

import (
	"encoding/binary"

	"lemongate/internal/checksum"
)

// Limiter is the number of a limiter in the tier.
type Limiter = uint16

// PageRequest requests a page of a limiter's usage in a period.
type PageRequest struct {
	Period          uint32
	Page            uint16
	ReportedUpTo    uint32 // the limiter's usage up to this period is in a report
	Token           uint64 // fencing token of the lease holder
	KnowsAllReports bool   // see Collector.KnowsAllReports; a closed period beyond ReportedUpTo becomes part of this one
	MayRepeat       bool   // see Collector.MayRepeat; a limiter that has not closed the period leaves it open
	// TakesUnconfirmed means that the lease holder accepts unconfirmed usage too. Limiters of release 0.9.3
	// ignore a request that has it set.
	TakesUnconfirmed bool `since:"0.9.4"`
}

// PendingReport is the reply of a limiter that has closed another period, to a lease holder that does not
// know whether there is a report of that period.
type PendingReport struct{ Period uint32 }

// Confirmation tells a limiter, soon after a report was written, that the report includes what the limiter
// sent for its period. There is no reply; if the message is lost, the next request has the same information.
type Confirmation struct {
	Period uint32
	Token  uint64 // fencing token of the lease holder
}

// Page is a page of a limiter's usage in a period, in reply to a PageRequest.
type Page struct {
	Period      uint32
	Incarnation uint32 // of the limiter
	FirstPeriod uint32 // the first period whose usage is included; 0 for all usage since the incarnation started
	Page        uint16
	Pages       uint16 // number of pages
	Entries     []byte // packed
	// ClosedPeriod is set if the reply includes unconfirmed usage. It equals Period on the pages of the period
	// itself. On the pages of unconfirmed usage, which follow them, it is the earlier period with which that
	// usage was closed, and FirstPeriod is that of the earlier period.
	ClosedPeriod uint32
}

// isUnconfirmed reports whether the page has unconfirmed usage of an earlier period.
func (p Page) isUnconfirmed() bool { return p.ClosedPeriod > 0 && p.ClosedPeriod != p.Period }

// Format of a datagram, big-endian: magic, kind, the fields in order, a checksum. The first byte differs from
// every version number of the limiters' other messages.
const (
	magic             = 'U'
	prefixBytes       = 2  // magic and kind
	pageRequestBytes  = 19 // the fields of a PageRequest: 4, 2, 4, 8, and 1 for flags
	pageHeaderBytes   = 16 // the fields of a Page before Entries: 4, 4, 4, 2 and 2
	closedPeriodBytes = 4  // ClosedPeriod, which follows them in a page that has it
	confirmationBytes = 12 // the fields of a Confirmation: 4 and 8
	maxDatagramBytes  = 256
	maxPageBytes      = maxDatagramBytes - prefixBytes - pageHeaderBytes - closedPeriodBytes - checksum.Size

	flagKnowsAllReports  = 1 << 0
	flagMayRepeat        = 1 << 1
	flagTakesUnconfirmed = 1 << 2
	allFlags             = flagKnowsAllReports | flagMayRepeat | flagTakesUnconfirmed
)

const (
	kindPageRequest byte = iota
	kindPage
	kindPendingReport
	kindPageWithClosedPeriod // since release 0.9.4
	kindConfirmation         // since release 0.9.4
)

// IsMessage reports whether a datagram is a message of this package.
func IsMessage(data []byte) bool { return len(data) > 0 && data[0] == magic }

// messageBody returns the fields of a datagram, between its kind and its checksum, and reports whether the
// datagram is valid and of the given kind.
func messageBody(data []byte, kind byte) ([]byte, bool) {
	if len(data) < prefixBytes+checksum.Size || len(data) > maxDatagramBytes || data[0] != magic || data[1] != kind {
		return nil, false
	}
	data, ok := checksum.Verify(data)
	return data[prefixBytes:], ok
}

// Append appends the datagram of a request to data, which must be empty, as the checksum covers all of data.
func (p PageRequest) Append(data []byte) []byte {
	flags := byte(0)
	if p.KnowsAllReports {
		flags |= flagKnowsAllReports
	}
	if p.MayRepeat {
		flags |= flagMayRepeat
	}
	if p.TakesUnconfirmed {
		flags |= flagTakesUnconfirmed
	}
	order := binary.BigEndian
	data = append(data, magic, kindPageRequest)
	data = order.AppendUint32(data, p.Period)
	data = order.AppendUint16(data, p.Page)
	data = order.AppendUint32(data, p.ReportedUpTo)
	data = order.AppendUint64(data, p.Token)
	data = append(data, flags)
	return checksum.Append(data)
}

// ParsePageRequest decodes a datagram and reports whether it is a PageRequest.
func ParsePageRequest(data []byte) (p PageRequest, ok bool) {
	data, ok = messageBody(data, kindPageRequest)
	if !ok || len(data) != pageRequestBytes || data[18] > allFlags {
		return p, false
	}
	order := binary.BigEndian
	return PageRequest{
		Period:           order.Uint32(data),
		Page:             order.Uint16(data[4:]),
		ReportedUpTo:     order.Uint32(data[6:]),
		Token:            order.Uint64(data[10:]),
		KnowsAllReports:  data[18]&flagKnowsAllReports != 0,
		MayRepeat:        data[18]&flagMayRepeat != 0,
		TakesUnconfirmed: data[18]&flagTakesUnconfirmed != 0,
	}, true
}

// Append appends the datagram of a reply to data, which must be empty, as the checksum covers all of data.
func (p PendingReport) Append(data []byte) []byte {
	data = append(data, magic, kindPendingReport)
	data = binary.BigEndian.AppendUint32(data, p.Period)
	return checksum.Append(data)
}

// ParsePendingReport decodes a datagram and reports whether it is a PendingReport.
func ParsePendingReport(data []byte) (p PendingReport, ok bool) {
	data, ok = messageBody(data, kindPendingReport)
	if !ok || len(data) != 4 {
		return p, false
	}
	return PendingReport{Period: binary.BigEndian.Uint32(data)}, true
}

// Append appends the datagram of a confirmation to data, which must be empty, as the checksum covers all of data.
func (c Confirmation) Append(data []byte) []byte {
	data = append(data, magic, kindConfirmation)
	data = binary.BigEndian.AppendUint32(data, c.Period)
	data = binary.BigEndian.AppendUint64(data, c.Token)
	return checksum.Append(data)
}

// ParseConfirmation decodes a datagram and reports whether it is a Confirmation.
func ParseConfirmation(data []byte) (c Confirmation, ok bool) {
	data, ok = messageBody(data, kindConfirmation)
	if !ok || len(data) != confirmationBytes {
		return c, false
	}
	return Confirmation{Period: binary.BigEndian.Uint32(data), Token: binary.BigEndian.Uint64(data[4:])}, true
}

// Append appends the datagram of a page to data, which must be empty, as the checksum covers all of data.
func (p Page) Append(data []byte) []byte {
	kind := kindPage
	if p.ClosedPeriod > 0 {
		kind = kindPageWithClosedPeriod
	}
	order := binary.BigEndian
	data = append(data, magic, kind)
	data = order.AppendUint32(data, p.Period)
	data = order.AppendUint32(data, p.Incarnation)
	data = order.AppendUint32(data, p.FirstPeriod)
	data = order.AppendUint16(data, p.Page)
	data = order.AppendUint16(data, p.Pages)
	if p.ClosedPeriod > 0 {
		data = order.AppendUint32(data, p.ClosedPeriod)
	}
	data = append(data, p.Entries...)
	return checksum.Append(data)
}

// ParsePage decodes a datagram and reports whether it is a Page with complete entries.
func ParsePage(data []byte) (p Page, ok bool) {
	if body, ok := messageBody(data, kindPage); ok && len(body) >= pageHeaderBytes {
		return parsePage(body[:pageHeaderBytes], body[pageHeaderBytes:])
	}
	body, ok := messageBody(data, kindPageWithClosedPeriod)
	if !ok || len(body) < pageHeaderBytes+closedPeriodBytes {
		return p, false
	}
	p, ok = parsePage(body[:pageHeaderBytes], body[pageHeaderBytes+closedPeriodBytes:])
	p.ClosedPeriod = binary.BigEndian.Uint32(body[pageHeaderBytes:])
	return p, ok && p.ClosedPeriod > 0 && p.ClosedPeriod <= p.Period
}

// parsePage decodes all fields of a page except ClosedPeriod.
func parsePage(header, entries []byte) (p Page, ok bool) {
	order := binary.BigEndian
	p = Page{
		Period:      order.Uint32(header),
		Incarnation: order.Uint32(header[4:]),
		FirstPeriod: order.Uint32(header[8:]),
		Page:        order.Uint16(header[12:]),
		Pages:       order.Uint16(header[14:]),
		Entries:     entries,
	}
	return p, p.Page < p.Pages && isPacked(p.Entries)
}
