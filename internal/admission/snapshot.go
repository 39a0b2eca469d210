package admission

import (
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"slices"

	jsoniter "github.com/json-iterator/go"

	"lemongate/internal/quota"
)

// This file hands what a Controller knows over to that of another process of the same limiter. The
// stored form is in snapshot_state.go.

// Errors of Snapshot and Resume.
var (
	// ErrNotStarted means that no event has come yet, so there is nothing to store.
	ErrNotStarted = errors.New("snapshot: not started")
	// ErrOtherSettings means that a snapshot was taken under other settings.
	ErrOtherSettings = errors.New("snapshot: of other settings")
	// ErrIncomplete means that a part of a snapshot is missing.
	ErrIncomplete = errors.New("snapshot: incomplete")
)

// stateCodec reads and writes snapshots. Field names count in their case.
var stateCodec = jsoniter.Config{SortMapKeys: true, CaseSensitive: true}.Froze()

// snapshot is what one process hands over to the next.
type snapshot struct {
	Fingerprint uint64        `json:"Print"` // of the settings
	Epoch       uint32        `json:"Epoch"`
	Limiter     *limiterState `json:"Gateway"`

	// HeldSlots is left out by releases up to 0.9.1.
	HeldSlots []heldSlotState `json:"HeldSlots,omitempty"`
}

// PrepareSnapshots has the codec look through the stored types, which the first Snapshot and the first Resume of
// a process would otherwise do, while no process admits. It takes some milliseconds.
func PrepareSnapshots() {
	data, _ := stateCodec.Marshal(snapshot{Limiter: &limiterState{}}) // a zero state has no value without a stored form
	_ = stateCodec.Unmarshal(data, &snapshot{})                       // data has just been encoded
	_ = fingerprint(Settings{})
}

// Snapshot returns what this Controller knows, for Resume in another process. Requests are not part of
// it, but for the slots of retries that wait: those without an attempt have to be withdrawn before (RequestEnded),
// and attempts in flight are for AttemptAdopted. The Controller must not be handed requests any more after it, except after an
// EpochRenewed. The error is ErrNotStarted, or that a value has no stored form.
func (ctl *Controller) Snapshot() ([]byte, error) {
	if !ctl.started {
		return nil, ErrNotStarted
	}
	state := newLimiterState(ctl)
	data, err := stateCodec.Marshal(snapshot{
		Fingerprint: fingerprint(ctl.settings), Epoch: ctl.settings.Epoch, Limiter: &state, HeldSlots: ctl.heldSlots(),
	})
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return data, nil
}

// Resume returns a Controller that goes on where that of a snapshot stood, in its epoch, so that other
// limiters see no restart. The error is ErrOtherSettings where allocations were cut by other settings
// and would be counted wrong, ErrIncomplete, or that the data cannot be read.
func Resume(set Settings, seed uint64, data []byte) (*Controller, error) {
	ctl := New(set, seed)
	state := newLimiterState(ctl) // a field that is not stored keeps the value of a start
	s := snapshot{Limiter: &state}
	if err := stateCodec.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	switch {
	case s.Fingerprint != fingerprint(set):
		return nil, ErrOtherSettings
	case s.Limiter == nil || s.Limiter.Ledger == nil || len(s.Limiter.Classes) != len(set.Classes):
		return nil, ErrIncomplete
	}
	s.Limiter.restore(ctl)
	ctl.settings.Epoch = s.Epoch
	ctl.customers.ledger = quota.Restore(*s.Limiter.Ledger, ctl.quotaConfig())
	ctl.deriveState()
	ctl.restoreHeldSlots(s.HeldSlots)
	return ctl, nil
}

// fingerprint identifies settings but for the epoch. Other releases compare it with their own, so it is
// computed of a stored form, whose names do not change.
func fingerprint(set Settings) uint64 {
	set.Epoch = 0
	h := fnv.New64a()
	_ = stateCodec.NewEncoder(h).Encode(newSettingsState(set)) // writing to a hash never fails, and settings come from JSON
	return h.Sum64()
}

// deriveState builds what follows from the state that was stored.
func (ctl *Controller) deriveState() {
	ctl.classes.index()
	ctl.customers.order = slices.DeleteFunc(ctl.customers.order, func(c *customer) bool {
		return !ctl.relinkCustomer(c)
	})
	ctl.derivePending()
	ctl.mergeEndpoints(&EndpointList{Kind: ListDelta})
	ctl.timer.armedFor, ctl.timer.dueAt = math.MaxInt64, ctl.now // the first event arms it
}

// relinkCustomer finds the plan and the account of a customer that was stored, and reports whether it
// is kept. One whose plan the settings do not have is known by its requests only, which are not stored.
func (ctl *Controller) relinkCustomer(c *customer) bool {
	if c.planIndex >= len(ctl.settings.Plans) {
		return false
	}
	c.plan, c.slots = &ctl.settings.Plans[c.planIndex], 0
	c.account = ctl.customers.ledger.Find(hashOf(c.name), c.planIndex, c.firstLimiter, c.setSize)
	if c.account == nil {
		return false
	}
	c.account.SlotsInUse = 0 // its attempts are adopted one by one
	ctl.customers.byKey[customerKey{c.name, c.plan.Name}] = c
	return true
}

// derivePending finds the observations and messages that are still to be sent to other limiters.
func (ctl *Controller) derivePending() {
	g := &ctl.gossip
	for _, b := range ctl.endpoints.byID {
		if b.gossipRepeats > 0 {
			g.pending = append(g.pending, b)
		}
	}
	slices.SortFunc(g.pending, func(a, b *backend) int {
		return cmp.Or(cmp.Compare(a.observedAt, b.observedAt), cmp.Compare(a.ID, b.ID))
	})
	for _, p := range g.peers {
		if p.queued {
			g.queued = append(g.queued, p)
		}
	}
	slices.SortFunc(g.queued, func(a, b *peer) int { return cmp.Compare(a.number, b.number) })
}

// renewEpoch starts a new ledger in a new epoch, as after a restart. The requests at hand still count
// among their customers' slots.
func (ctl *Controller) renewEpoch(epoch uint32) {
	ctl.settings.Epoch = epoch
	ctl.startLedger()
	ctl.reports.initialUtilizations = nil
	for _, b := range ctl.endpoints.byID {
		b.initialReportSeen = false
	}
	for _, p := range ctl.gossip.peers {
		p.lastSentSeq = 0
	}
	ctl.customers.byKey, ctl.customers.order = map[customerKey]*customer{}, nil
	for _, id := range slices.Sorted(maps.Keys(ctl.requests)) { // accounts keep the order in which they are made
		ctl.readoptCustomer(ctl.requests[id].customer)
	}
	for _, id := range slices.Sorted(maps.Keys(ctl.customers.held)) {
		ctl.readoptCustomer(ctl.customers.held[id].customer)
	}
	slices.SortFunc(ctl.customers.order, func(a, b *customer) int {
		return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.plan.Name, b.plan.Name))
	})
	ctl.announceToPeers()
}

// readoptCustomer gives a customer with requests at hand an account in a new ledger.
func (ctl *Controller) readoptCustomer(c *customer) {
	key := customerKey{c.name, c.plan.Name}
	if ctl.customers.byKey[key] != nil {
		return
	}
	c.account = ctl.customers.ledger.Account(c.account.CustomerHash, c.planIndex, c.firstLimiter, c.setSize, ctl.now)
	ctl.customers.byKey[key] = c
	ctl.customers.order = append(ctl.customers.order, c)
	c.account.SlotsInUse += c.slots
}
