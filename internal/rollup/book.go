// Package rollup adds up what all limiters of a tier sent on, per customer and plan: a period
// after another, each in one line, written by whoever holds the task's lease. It does no I/O, reads
// no clock and starts no goroutine. docs/design/leases.md has what it promises.
//
// Each limiter keeps a Book. The holder asks all of them, a page at a time (Gather); the first ask
// for a period closes it there, so that each unit is in one period of each limiter, and what was
// closed is kept until a line with it is known to be written, or goes into the next period.
package rollup

import (
	"cmp"
	"math"
	"slices"
)

// Limiter is the number of one limiter of the tier.
type Limiter = uint16

// Milli is how many parts of a unit are counted.
const Milli = 1000

// mostCustomers bounds a book: what further customers use is under the name Others.
const mostCustomers = 1 << 16

// Others stands for the customers that a full book has no room for.
const Others = ""

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

// A Book has what one limiter sent on. It is not safe for concurrent use.
type Book struct {
	life   uint32
	open   map[Key]uint64
	closed *closed // not known to be written; nil for none
	last   uint32  // period closed last; 0 for none in this life
	token  uint64  // the greatest that asked
}

// closed is a period that is over, and what came between the one before and it.
type closed struct {
	Period uint32   `json:"Period"`
	From   uint32   `json:"From"` // the first period that it covers; 0 for the start of the life
	Pages  [][]byte `json:"Pages"`
}

// NewBook returns an empty one. A life is told apart from others of its limiter.
func NewBook(life uint32) *Book { return &Book{life: life, open: map[Key]uint64{}} }

// Add books what a customer used.
func (b *Book) Add(k Key, units float64) {
	if units <= 0 {
		return
	}
	if _, has := b.open[k]; !has && (len(b.open) >= mostCustomers || len(k.Customer) > maxName) {
		k.Customer = Others
	}
	b.open[k] += parts(units)
}

func parts(units float64) uint64 { return uint64(math.Round(units * Milli)) }

// Asked gives the answer to an ask: a page, or what is owed before there can be one. It is false where
// there is neither: the ask is of a former holder, or of a period that was written long ago.
func (b *Book) Asked(p Pull) (answer []byte, ok bool) {
	if p.Token < b.token {
		return nil, false
	}
	b.token = p.Token
	if b.closed != nil && b.closed.Period <= p.Done {
		b.closed = nil
	}
	if p.Period > b.last {
		if b.closed != nil && !p.Sure {
			return Owes{b.closed.Period}.Append(nil), true
		}
		if p.Again { // what is open is of a later one: in this line it would count only if no other has the period
			return Page{Period: p.Period, Life: b.life, From: p.Period, Pages: 1}.Append(nil), true
		}
		b.close(p.Period)
	}
	c := b.closed
	if c != nil && c.Period > p.Period {
		return Owes{c.Period}.Append(nil), true
	}
	if c == nil || c.Period != p.Period {
		return nil, false
	}
	if int(p.Page) >= len(c.Pages) { // it was told of more by an earlier life, and sees so by this page
		p.Page = 0
	}
	return Page{
		Period: p.Period, Life: b.life, From: c.From, Page: p.Page, Pages: uint16(len(c.Pages)), Entries: c.Pages[p.Page],
	}.Append(nil), true
}

// close ends the open period. One that was closed before and is in no line goes along: nothing is
// left out, and the page tells.
func (b *Book) close(period uint32) {
	c := closed{Period: period, From: b.last + 1}
	if b.last == 0 {
		c.From = 0
	}
	entries := make([]Entry, 0, len(b.open))
	for k, units := range b.open {
		entries = append(entries, Entry{k, units})
	}
	if b.closed != nil {
		c.From = b.closed.From
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

// Held gives the units that are in no line yet, as far as periods up to one are in lines.
func (b *Book) Held(written uint32) float64 {
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
	return float64(sum) / Milli
}

// Renew tells that another process of the limiter stood in for this one and died: what it booked is
// lost, as with a start.
func (b *Book) Renew(life uint32) { b.life, b.last, b.closed = life, 0, nil }

// A Legacy is a book on its way to another process of the same limiter.
type Legacy struct {
	Life   uint32  `json:"Life"`
	Last   uint32  `json:"Last"`
	Token  uint64  `json:"Token"`
	Open   []Entry `json:"Open"`
	Closed *closed `json:"Closed"`
}

// Legacy packs the book.
func (b *Book) Legacy() *Legacy {
	x := &Legacy{Life: b.life, Last: b.last, Token: b.token, Closed: b.closed}
	for k, units := range b.open {
		x.Open = append(x.Open, Entry{k, units})
	}
	x.Open = total(x.Open)
	return x
}

// Add books what was used while the legacy is on its way.
func (x *Legacy) Add(k Key, units float64) { x.Open = append(x.Open, Entry{k, parts(max(units, 0))}) }

// Inherit goes on with the book of another process of the same limiter, and adds to it what this
// one has.
func (b *Book) Inherit(x *Legacy) {
	if x == nil {
		return
	}
	b.life, b.last, b.token, b.closed = x.Life, x.Last, x.Token, x.Closed
	for _, e := range x.Open {
		b.open[e.Key] += e.Units
	}
}
