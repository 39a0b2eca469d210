package lemongate

import (
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"slices"

	jsoniter "github.com/json-iterator/go"

	"lemongate/internal/quota"
)

// This file moves what a Gateway remembers to the one of another process, which takes over
// from it. The stored form is in snapshot_state.go.

// stateCodec reads and writes snapshots. Field names count in their case: names of one type
// differ by that alone.
var stateCodec = jsoniter.Config{SortMapKeys: true, CaseSensitive: true}.Froze()

// A snapshot is what goes over.
type snapshot struct {
	Fingerprint uint64        `json:"Print"` // of the settings: under others the state means nothing
	Epoch       uint32        `json:"Epoch"`
	Limiter     *limiterState `json:"Gateway"`
}

// Snapshot packs what this Gateway remembers. Requests do not go with it: those that wait
// have to be withdrawn first (Gone), what is out is for Adopted. It says nothing new to its
// peers from here on, and must not be asked to admit again but after Renewed.
func (g *Gateway) Snapshot() ([]byte, error) {
	if !g.running {
		return nil, errors.New("snapshot: nothing has come yet")
	}
	state := newLimiterState(g)
	data, err := stateCodec.Marshal(snapshot{Fingerprint: fingerprint(g.set), Epoch: g.set.Epoch, Limiter: &state})
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return data, nil
}

// Resume returns a Gateway that goes on where the one of a snapshot stood, in its epoch, so
// that its peers see no restart. Settings that decide otherwise than those of the snapshot
// are an error: rights that were cut by others would be counted wrong.
func Resume(set Settings, seed uint64, data []byte) (*Gateway, error) {
	g := New(set, seed)
	state := newLimiterState(g) // a field that is not stored keeps the value of a start
	s := snapshot{Limiter: &state}
	if err := stateCodec.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	switch {
	case s.Fingerprint != fingerprint(set):
		return nil, errors.New("snapshot: of other settings")
	case s.Limiter == nil || s.Limiter.Ledger == nil || len(s.Limiter.Classes) != len(set.Classes):
		return nil, errors.New("snapshot: not whole")
	}
	s.Limiter.restore(g)
	g.set.Epoch = s.Epoch
	g.ledger = quota.Restore(*s.Limiter.Ledger, g.quotaConfig())
	g.relink()
	return g, nil
}

// fingerprint tells settings apart by all that decides. Other releases compare it with their own:
// it is taken of a stored form, whose names do not change.
func fingerprint(set Settings) uint64 {
	set.Epoch = 0
	h := fnv.New64a()
	_ = stateCodec.NewEncoder(h).Encode(newSettingsState(set)) // a hash takes all, and settings come from JSON
	return h.Sum64()
}

// relink builds what follows from the rest.
func (g *Gateway) relink() {
	clear(g.byName)
	g.preferred = slices.Clone(g.classes)
	for _, c := range g.classes {
		g.byName[c.Name] = c
	}
	slices.SortStableFunc(g.preferred, func(a, b *class) int {
		return cmp.Or(cmp.Compare(b.Worth, a.Worth), cmp.Compare(a.Aim, b.Aim))
	})
	g.order = slices.DeleteFunc(g.order, func(c *customer) bool {
		if c.number >= len(g.set.Plans) { // of none of the settings: its requests are all that there is of it
			return true
		}
		c.plan, c.held, c.open = &g.set.Plans[c.number], 0, 0
		if c.account = g.ledger.Find(hashOf(c.name), c.number, c.first, c.size); c.account == nil {
			return true
		}
		g.places(c)
		g.customers[customerKey{c.name, c.plan.Name}] = c
		return false
	})
	for _, b := range g.known {
		if b.told > 0 {
			g.news = append(g.news, b)
		}
	}
	slices.SortFunc(g.news, func(a, b *backend) int { return cmp.Or(cmp.Compare(a.heard, b.heard), cmp.Compare(a.ID, b.ID)) })
	for _, p := range g.peers {
		if p.waits {
			g.telling = append(g.telling, p)
		}
	}
	slices.SortFunc(g.telling, func(a, b *peer) int { return cmp.Compare(a.number, b.number) })
	g.merge(&List{Kind: ListChanges})
	g.wakeAt, g.dueAt = math.MaxInt64, g.now // the first event asks for the timer
}

// Adopted tells of an attempt that another process has out for this gateway's customers: it
// counts at its backend and among its customer's places until its Outcome.
type Adopted struct {
	Request
	Attempt int
	Backend string
}

// Renewed tells that another process stood in for this one, and what it granted is not
// known: what is held of the stores is what a limiter holds that starts anew.
type Renewed struct{ Epoch uint32 }

func (*Adopted) event() {}
func (Renewed) event()  {}

// adopt books an attempt of another process.
func (g *Gateway) adopt(ev *Adopted) {
	c, b := g.byName[ev.Class], g.known[ev.Backend]
	if c == nil || b == nil {
		return
	}
	r := g.requests[ev.ID]
	if r == nil {
		r = &request{Request: &ev.Request, class: c, customer: g.lookup(&ev.Request), came: g.now, over: true}
		g.requests[ev.ID] = r
	}
	if r.at != nil {
		r.stop()
	}
	r.attempts = ev.Attempt
	r.start(b, g.now)
	g.places(r.customer)
}

// renew starts the ledger anew.
func (g *Gateway) renew(epoch uint32) {
	g.set.Epoch = epoch
	g.ledger = quota.New(g.quotaConfig(), g.now)
	if !slices.Contains(g.set.ReportFields, "util") {
		g.ledger.Resolve(quota.Fresh, g.now)
	}
	g.starting = nil
	for _, b := range g.known {
		b.reported = false
	}
	for _, p := range g.peers {
		p.sent = 0
	}
	g.customers, g.order = map[customerKey]*customer{}, nil
	for _, r := range g.requests { // those that are out still count
		c := r.customer
		if key := (customerKey{c.name, c.plan.Name}); g.customers[key] == nil {
			c.account = g.ledger.Account(c.account.Hash, c.number, c.first, c.size, g.now)
			g.customers[key], g.order = c, append(g.order, c)
			g.places(c)
		}
	}
	slices.SortFunc(g.order, func(a, b *customer) int {
		return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.plan.Name, b.plan.Name))
	})
	g.greet()
}
