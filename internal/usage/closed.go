package usage

import (
	"math"
	"slices"
)

// Bounds of the unconfirmed usage of a recorder. With the most pages of a closed period the numbers of
// pages stay within 16 bits.
const (
	maxUnconfirmedPeriods = 16
	maxUnconfirmedPages   = math.MaxUint16 / 2
)

// closedPeriod is the usage since the last period that was closed and is reported apart, up to the end of
// this one.
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

// delivery is what a recorder knows of whom its closed period was sent to.
type delivery struct {
	sent  bool   // all pages have left the limiter: a report may have them
	token uint64 // of the last lease holder that they were sent to; 0 for one that is not known
	// mayRepeat means that they were sent for a report that counts only if there is no other: nobody knows
	// which report counts.
	mayRepeat bool
	// withUnconfirmed means that the lease holder has the unconfirmed usage too if it has the period.
	withUnconfirmed bool
	reported        bool // a report that counts has the period
}

// record records that the last page was sent in reply to a request. If an earlier lease holder collected
// the period without MayRepeat, it did not have a report written: else this one would set MayRepeat.
func (d *delivery) record(p PageRequest) {
	sameHolder := d.sent && d.token == p.Token
	d.withUnconfirmed = p.TakesUnconfirmed && (d.withUnconfirmed || !sameHolder)
	d.sent, d.token, d.mayRepeat = true, p.Token, p.MayRepeat
}

// isKnownTo reports whether the holder of a lease knows for certain if a report that counts has the period.
func (d *delivery) isKnownTo(token uint64) bool {
	return d.sent && !d.mayRepeat && d.token == token
}

// unconfirmed are closed periods of which their limiter does not know whether a report has them, the
// oldest first.
type unconfirmed []closedPeriod

// add returns the list with one more period. If it is too long then, the oldest one is dropped: what is
// not in its report is lost, and Summary says so.
func (u unconfirmed) add(c closedPeriod) unconfirmed {
	c.Pages = pack(total(c.entries()))
	u = append(slices.Clip(u), c) // another process of the limiter may have the list too
	for len(u) > maxUnconfirmedPeriods || u.pages() > maxUnconfirmedPages {
		u = u[1:]
	}
	return u
}

func (u unconfirmed) pages() (count int) {
	for i := range u {
		count += len(u[i].Pages)
	}
	return count
}

// pageOf returns a page of a closed period and the unconfirmed usage to be sent with it. A number beyond the
// last one is that of a collector which has pages of an earlier incarnation, and learns it from the first.
func pageOf(c *closedPeriod, earlier unconfirmed, number uint16) Page {
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
