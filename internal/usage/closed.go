package usage

import (
	"math"
	"slices"
)

// Limits on the unconfirmed usage of a recorder. maxUnconfirmedPages leaves enough of the 16-bit page numbers
// for the largest closed period.
const (
	maxUnconfirmedPeriods = 16
	maxUnconfirmedPages   = math.MaxUint16 / 2
)

// closedPeriod is the usage from the beginning of FirstPeriod to the end of Period. It has all usage since the
// previous closed period that is reported separately.
type closedPeriod struct {
	Period      uint32   `json:"Period"`
	FirstPeriod uint32   `json:"From"` // see Page.FirstPeriod
	Pages       [][]byte `json:"Pages"`
}

// entries returns the usage of the period.
func (c *closedPeriod) entries() (list []Entry) {
	for _, page := range c.Pages {
		list = append(list, unpack(page)...)
	}
	return list
}

// delivery records whether, and to which lease holder, the closed period of a recorder was sent.
type delivery struct {
	sent  bool   // all pages have left the limiter: a report may include them
	token uint64 // of the last lease holder that they were sent to; 0 if it is not known
	// mayRepeat means that the pages were sent for a report that counts only if there is no other report of
	// the period: no lease holder knows which report counts.
	mayRepeat bool
	// withUnconfirmed means that the lease holder, if it received the whole period, received the unconfirmed
	// usage too.
	withUnconfirmed bool
	reported        bool // a report that counts includes the period
}

// recordSent records that the last page, and so the whole period, was sent in reply to a request. It may overwrite
// the token of an earlier lease holder. If that one collected the period without MayRepeat, it had no report
// written: otherwise this request would have MayRepeat set.
func (d *delivery) recordSent(p PageRequest) {
	sameHolder := d.sent && d.token == p.Token
	d.withUnconfirmed = p.TakesUnconfirmed && (d.withUnconfirmed || !sameHolder)
	d.sent, d.token, d.mayRepeat = true, p.Token, p.MayRepeat
}

// isKnownTo reports whether the lease holder with the given token knows for certain whether a report that
// counts includes the period.
func (d *delivery) isKnownTo(token uint64) bool {
	return d.sent && !d.mayRepeat && d.token == token
}

// unconfirmedPeriods are closed periods, the oldest first, for which the limiter does not know whether a report
// includes them.
type unconfirmedPeriods []closedPeriod

// add returns the list with one more period. If the list then exceeds its limits, the oldest periods are
// dropped: their usage is lost unless their own reports include it, and Summary lists the loss as a fault.
func (u unconfirmedPeriods) add(c closedPeriod) unconfirmedPeriods {
	c.Pages = pack(sumByKey(c.entries()))
	u = append(slices.Clip(u), c) // Clip makes append copy the array, which a RecorderState may share
	for len(u) > maxUnconfirmedPeriods || u.pages() > maxUnconfirmedPages {
		u = u[1:]
	}
	return u
}

func (u unconfirmedPeriods) pages() (count int) {
	for i := range u {
		count += len(u[i].Pages)
	}
	return count
}

// pageOf returns a page of a closed period, or of the unconfirmed usage, whose pages follow those of the
// period. A number beyond the last page comes from a collector that has pages of an earlier incarnation: for
// such a number pageOf returns the first page, from which the collector learns the new incarnation.
func pageOf(c *closedPeriod, earlier unconfirmedPeriods, number uint16) Page {
	page := Page{
		Period:      c.Period,
		FirstPeriod: c.FirstPeriod,
		Page:        number,
		Pages:       uint16(len(c.Pages) + earlier.pages()),
	}
	if len(earlier) > 0 {
		page.ClosedPeriod = c.Period
	}
	if page.Page >= page.Pages {
		page.Page = 0
	}
	index := int(page.Page)
	if index < len(c.Pages) {
		page.Entries = c.Pages[index]
		return page
	}
	index -= len(c.Pages)
	for _, e := range earlier {
		if index < len(e.Pages) {
			page.ClosedPeriod, page.FirstPeriod, page.Entries = e.Period, e.FirstPeriod, e.Pages[index]
			break
		}
		index -= len(e.Pages)
	}
	return page
}
