// Package usage adds up what all limiters of a tier sent on, per customer and plan: a period
// after another, each in one line, written by whoever holds the task's lease. It does no I/O, reads
// no clock and starts no goroutine. docs/design/leases.md has what it promises.
//
// Each limiter keeps a Book. The holder asks all of them, a page at a time (Gather); the first ask
// for a period closes it there, so that each unit is in one period of each limiter, and what was
// closed is kept until a line with it is known to be written, or goes into the next period.
package usage

import (
	"cmp"
	"math"
	"slices"
)

// Limiter is the number of one limiter of the tier.
type Limiter = uint16

// UnitParts is how many parts of a unit are counted.
const UnitParts = 1000

// maxCustomers bounds a book: what further customers use is under the name Others.
const maxCustomers = 1 << 16

// OverflowCustomer stands for the customers that a full book has no room for.
const OverflowCustomer = ""

// A Key is a customer on a plan.
type Key struct {
	Customer string `json:"Customer"`
	Plan     uint8  `json:"Plan"`
}

// An Entry is what one customer used.
type Entry struct {
	Key
	Units uint64 `json:"Units"` // in parts
}

// A Recorder has what one limiter sent on. It is not safe for concurrent use.
type Recorder struct {
	incarnation uint32
	open        map[Key]uint64
	closed      *closedPeriod // not known to be written; nil for none
	last        uint32        // period closed last; 0 for none in this life
	token       uint64        // the greatest that asked
}

// closedPeriod is a period that is over, and what came between the one before and it.
type closedPeriod struct {
	Period      uint32   `json:"Period"`
	FirstPeriod uint32   `json:"From"` // the first period that it covers; 0 for the start of the life
	Pages       [][]byte `json:"Pages"`
}

// NewRecorder returns an empty one. A life is told apart from others of its limiter.
func NewRecorder(life uint32) *Recorder { return &Recorder{incarnation: life, open: map[Key]uint64{}} }

// Add books what a customer used.
func (b *Recorder) Add(k Key, units float64) {
	if units <= 0 {
		return
	}
	if _, has := b.open[k]; !has && (len(b.open) >= maxCustomers || len(k.Customer) > maxNameBytes) {
		k.Customer = OverflowCustomer
	}
	b.open[k] += parts(units)
}

func parts(units float64) uint64 { return uint64(math.Round(units * UnitParts)) }

// HandleRequest gives the answer to an ask: a page, or what is owed before there can be one. It is false where
// there is neither: the ask is of a former holder, or of a period that was written long ago.
func (b *Recorder) HandleRequest(p PageRequest) (answer []byte, ok bool) {
	if p.Token < b.token {
		return nil, false
	}
	b.token = p.Token
	if b.closed != nil && b.closed.Period <= p.ReportedUpTo {
		b.closed = nil
	}
	if p.Period > b.last {
		if b.closed != nil && !p.KnowsAllReports {
			return PendingReport{b.closed.Period}.Append(nil), true
		}
		if p.MayBeReported { // what is open is of a later one: in this line it would count only if no other has the period
			return Page{Period: p.Period, Incarnation: b.incarnation, FirstPeriod: p.Period, Pages: 1}.Append(nil), true
		}
		b.close(p.Period)
	}
	c := b.closed
	if c != nil && c.Period > p.Period {
		return PendingReport{c.Period}.Append(nil), true
	}
	if c == nil || c.Period != p.Period {
		return nil, false
	}
	if int(p.Page) >= len(c.Pages) { // it was told of more by an earlier life, and sees so by this page
		p.Page = 0
	}
	return Page{
		Period: p.Period, Incarnation: b.incarnation, FirstPeriod: c.FirstPeriod, Page: p.Page, Pages: uint16(len(c.Pages)), Entries: c.Pages[p.Page],
	}.Append(nil), true
}

// close ends the open period. One that was closed before and is in no line goes along: nothing is
// left out, and the page tells.
func (b *Recorder) close(period uint32) {
	c := closedPeriod{Period: period, FirstPeriod: b.last + 1}
	if b.last == 0 {
		c.FirstPeriod = 0
	}
	entries := make([]Entry, 0, len(b.open))
	for k, units := range b.open {
		entries = append(entries, Entry{k, units})
	}
	if b.closed != nil {
		c.FirstPeriod = b.closed.FirstPeriod
		for _, page := range b.closed.Pages {
			entries = append(entries, unpack(page)...)
		}
	}
	c.Pages = pack(total(entries))
	b.closed, b.last = &c, period
	clear(b.open)
}

// total adds up entries of the same key, and sorts them.
func total(entries []Entry) (list []Entry) {
	slices.SortFunc(entries, func(a, b Entry) int { return a.compare(b.Key) })
	for _, e := range entries {
		if n := len(list); n > 0 && list[n-1].Key == e.Key {
			list[n-1].Units += e.Units
		} else {
			list = append(list, e)
		}
	}
	return list
}

func (k Key) compare(o Key) int {
	return cmp.Or(cmp.Compare(k.Customer, o.Customer), cmp.Compare(k.Plan, o.Plan))
}

// UnreportedUnits gives the units that are in no line yet, as far as periods up to one are in lines.
func (b *Recorder) UnreportedUnits(written uint32) float64 {
	var sum uint64
	for _, units := range b.open {
		sum += units
	}
	if b.closed != nil && b.closed.Period > written {
		for _, page := range b.closed.Pages {
			for _, e := range unpack(page) {
				sum += e.Units
			}
		}
	}
	return float64(sum) / UnitParts
}

// Reset tells that another process of the limiter stood in for this one and died: what it booked is
// lost, as with a start.
func (b *Recorder) Reset(life uint32) { b.incarnation, b.last, b.closed = life, 0, nil }

// A RecorderState is a book on its way to another process of the same limiter.
type RecorderState struct {
	Incarnation uint32        `json:"Life"`
	Last        uint32        `json:"Last"`
	Token       uint64        `json:"Token"`
	Open        []Entry       `json:"Open"`
	Closed      *closedPeriod `json:"Closed"`
}

// State packs the book.
func (b *Recorder) State() *RecorderState {
	x := &RecorderState{Incarnation: b.incarnation, Last: b.last, Token: b.token, Closed: b.closed}
	for k, units := range b.open {
		x.Open = append(x.Open, Entry{k, units})
	}
	x.Open = total(x.Open)
	return x
}

// Add books what was used while the legacy is on its way.
func (x *RecorderState) Add(k Key, units float64) {
	x.Open = append(x.Open, Entry{k, parts(max(units, 0))})
}

// Restore goes on with the book of another process of the same limiter, and adds to it what this
// one has.
func (b *Recorder) Restore(x *RecorderState) {
	if x == nil {
		return
	}
	b.incarnation, b.last, b.token, b.closed = x.Incarnation, x.Last, x.Token, x.Closed
	for _, e := range x.Open {
		b.open[e.Key] += e.Units
	}
}
