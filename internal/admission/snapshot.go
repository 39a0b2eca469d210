package admission

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
func (g *Controller) Snapshot() ([]byte, error) {
	if !g.started {
		return nil, errors.New("snapshot: nothing has come yet")
	}
	state := newLimiterState(g)
	data, err := stateCodec.Marshal(snapshot{Fingerprint: fingerprint(g.settings), Epoch: g.settings.Epoch, Limiter: &state})
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return data, nil
}

// Resume returns a Gateway that goes on where the one of a snapshot stood, in its epoch, so
// that its peers see no restart. Settings that decide otherwise than those of the snapshot
// are an error: rights that were cut by others would be counted wrong.
func Resume(set Settings, seed uint64, data []byte) (*Controller, error) {
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
	g.settings.Epoch = s.Epoch
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
func (g *Controller) relink() {
	clear(g.classesByName)
	g.classesByWeight = slices.Clone(g.classes)
	for _, c := range g.classes {
		g.classesByName[c.Name] = c
	}
	slices.SortStableFunc(g.classesByWeight, func(a, b *requestClass) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.LatencyObjective, b.LatencyObjective))
	})
	g.customerOrder = slices.DeleteFunc(g.customerOrder, func(c *customer) bool {
		if c.planIndex >= len(g.settings.Plans) { // of none of the settings: its requests are all that there is of it
			return true
		}
		c.plan, c.queued, c.inFlight = &g.settings.Plans[c.planIndex], 0, 0
		if c.account = g.ledger.Find(hashOf(c.name), c.planIndex, c.firstLimiter, c.setSize); c.account == nil {
			return true
		}
		g.syncSlots(c)
		g.customers[customerKey{c.name, c.plan.Name}] = c
		return false
	})
	for _, b := range g.backendsByID {
		if b.gossipRepeats > 0 {
			g.pendingObservations = append(g.pendingObservations, b)
		}
	}
	slices.SortFunc(g.pendingObservations, func(a, b *backend) int {
		return cmp.Or(cmp.Compare(a.observedAt, b.observedAt), cmp.Compare(a.ID, b.ID))
	})
	for _, p := range g.peers {
		if p.queued {
			g.queuedPeers = append(g.queuedPeers, p)
		}
	}
	slices.SortFunc(g.queuedPeers, func(a, b *peer) int { return cmp.Compare(a.number, b.number) })
	g.mergeEndpoints(&EndpointList{Kind: ListDelta})
	g.timerAt, g.nextDueAt = math.MaxInt64, g.now // the first event asks for the timer
}

// AttemptAdopted tells of an attempt that another process has out for this gateway's customers: it
// counts at its backend and among its customer's places until its Outcome.
type AttemptAdopted struct {
	Request
	Attempt int
	Backend string
}

// EpochRenewed tells that another process stood in for this one, and what it granted is not
// known: what is held of the stores is what a limiter holds that starts anew.
type EpochRenewed struct{ Epoch uint32 }

func (*AttemptAdopted) event() {}
func (EpochRenewed) event()    {}

// adopt books an attempt of another process.
func (g *Controller) adopt(ev *AttemptAdopted) {
	c, b := g.classesByName[ev.Class], g.backendsByID[ev.Backend]
	if c == nil || b == nil {
		return
	}
	r := g.requests[ev.ID]
	if r == nil {
		r = &request{Request: &ev.Request, class: c, customer: g.lookupCustomer(&ev.Request), receivedAt: g.now, ended: true}
		g.requests[ev.ID] = r
	}
	if r.backend != nil {
		r.finishAttempt()
	}
	r.attempts = ev.Attempt
	r.startAt(b, g.now)
	g.syncSlots(r.customer)
}

// renew starts the ledger anew.
func (g *Controller) renew(epoch uint32) {
	g.settings.Epoch = epoch
	g.ledger = quota.New(g.quotaConfig(), g.now)
	if !slices.Contains(g.settings.LoadReportFields, "util") {
		g.ledger.Resolve(quota.TierStarted, g.now)
	}
	g.initialUtilizations = nil
	for _, b := range g.backendsByID {
		b.initialReportSeen = false
	}
	for _, p := range g.peers {
		p.lastSentSeq = 0
	}
	g.customers, g.customerOrder = map[customerKey]*customer{}, nil
	for _, r := range g.requests { // those that are out still count
		c := r.customer
		if key := (customerKey{c.name, c.plan.Name}); g.customers[key] == nil {
			c.account = g.ledger.Account(c.account.CustomerHash, c.planIndex, c.firstLimiter, c.setSize, g.now)
			g.customers[key], g.customerOrder = c, append(g.customerOrder, c)
			g.syncSlots(c)
		}
	}
	slices.SortFunc(g.customerOrder, func(a, b *customer) int {
		return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.plan.Name, b.plan.Name))
	})
	g.announceToPeers()
}
