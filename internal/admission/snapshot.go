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

// This file transfers the state of a Controller to that of another process of the same limiter. The stored form is
// defined in snapshot_state.go.

// Errors of Snapshot and Resume.
var (
	// ErrNotStarted means that no event has been handled yet, so there is no state to store.
	ErrNotStarted = errors.New("snapshot: no event was handled yet")
	// ErrOtherSettings means that a snapshot was taken with other settings.
	ErrOtherSettings = errors.New("snapshot: of other settings")
	// ErrIncomplete means that a part of a snapshot is missing.
	ErrIncomplete = errors.New("snapshot: limiter state, ledger or classes are missing")
)

// stateCodec encodes and decodes snapshots. Field names are case-sensitive.
var stateCodec = jsoniter.Config{SortMapKeys: true, CaseSensitive: true}.Froze()

// snapshot is the state that one process hands over to the next.
type snapshot struct {
	Fingerprint uint64        `json:"Print"` // of the settings
	Epoch       uint32        `json:"Epoch"`
	Limiter     *limiterState `json:"Gateway"`

	// HeldSlots is missing in snapshots of releases up to 0.9.1.
	HeldSlots []heldSlotState `json:"HeldSlots,omitempty"`
}

// PrepareSnapshots makes the codec inspect the stored types, which takes some milliseconds. Otherwise the first Snapshot
// and the first Resume of a process would do so, while no process admits requests.
func PrepareSnapshots() {
	data, _ := stateCodec.Marshal(snapshot{Limiter: &limiterState{}}) // a zero state can always be encoded
	_ = stateCodec.Unmarshal(data, &snapshot{})                       // data has just been encoded
	_ = fingerprint(Settings{})
}

// Snapshot returns the state of this Controller, for Resume in another process. Requests are not part of the state,
// except for the slots of retries that wait for a backend: requests without an attempt have to be withdrawn before
// (RequestEnded), and attempts in flight have to be reported by AttemptAdopted. After Snapshot, no more requests may be
// passed to the Controller, except after an EpochRenewed. The error is ErrNotStarted, or that a value cannot be encoded.
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

// Resume returns a Controller that continues with the state of a snapshot, in its epoch, so that other limiters see no
// restart. The error is ErrOtherSettings if the allocations are based on other settings and would be counted wrong,
// ErrIncomplete, or that the data cannot be decoded.
func Resume(settings Settings, seed uint64, data []byte) (*Controller, error) {
	ctl := New(settings, seed)
	state := newLimiterState(ctl) // a field that is not stored keeps its initial value
	s := snapshot{Limiter: &state}
	if err := stateCodec.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	switch {
	case s.Fingerprint != fingerprint(settings):
		return nil, ErrOtherSettings
	case s.Limiter == nil || s.Limiter.Ledger == nil || len(s.Limiter.Classes) != len(settings.Classes):
		return nil, ErrIncomplete
	}
	s.Limiter.restore(ctl)
	ctl.settings.Epoch = s.Epoch
	ctl.customers.ledger = quota.Restore(*s.Limiter.Ledger, ctl.quotaConfig())
	ctl.deriveState()
	ctl.restoreHeldSlots(s.HeldSlots)
	return ctl, nil
}

// fingerprint returns a hash of the settings without the epoch. Other releases compare it with their own, so it is
// computed from a stored form, whose names do not change.
func fingerprint(settings Settings) uint64 {
	settings.Epoch = 0
	h := fnv.New64a()
	// Writing to a hash never fails, and settings, which come from JSON, can always be encoded.
	_ = stateCodec.NewEncoder(h).Encode(newSettingsState(settings))
	return h.Sum64()
}

// deriveState rebuilds the state that follows from the stored state.
func (ctl *Controller) deriveState() {
	ctl.classes.index()
	ctl.customers.order = slices.DeleteFunc(ctl.customers.order, func(c *customer) bool {
		return !ctl.relinkCustomer(c)
	})
	ctl.derivePending()
	ctl.mergeEndpoints(&EndpointList{Kind: ListDelta})
	ctl.timer.armedFor, ctl.timer.dueAt = math.MaxInt64, ctl.now // the first event arms it
}

// relinkCustomer sets the plan and the account of a restored customer, and reports whether the customer is kept. A
// customer whose plan is not in the settings is known only by its requests, which are not stored.
func (ctl *Controller) relinkCustomer(c *customer) bool {
	if c.planIndex >= len(ctl.settings.Plans) {
		return false
	}
	c.plan, c.slots = &ctl.settings.Plans[c.planIndex], 0
	c.account = ctl.customers.ledger.Find(hashOf(c.name), c.planIndex, c.firstLimiter, c.setSize)
	if c.account == nil {
		return false
	}
	c.account.SlotsInUse = 0 // counted again as its attempts are adopted
	ctl.customers.byKey[customerKey{c.name, c.plan.Name}] = c
	return true
}

// derivePending rebuilds the lists of observations and messages that are still to be sent to other limiters.
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

// renewEpoch starts a new ledger in a new epoch, as after a restart. The current requests still count among the slots of
// their customers.
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
	for _, id := range slices.Sorted(maps.Keys(ctl.requests)) { // accounts stay in the order in which they are created
		ctl.reopenAccount(ctl.requests[id].customer)
	}
	for _, id := range slices.Sorted(maps.Keys(ctl.customers.held)) {
		ctl.reopenAccount(ctl.customers.held[id].customer)
	}
	slices.SortFunc(ctl.customers.order, func(a, b *customer) int {
		return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.plan.Name, b.plan.Name))
	})
	ctl.announceToPeers()
}

// reopenAccount gives a customer with current requests an account in a new ledger.
func (ctl *Controller) reopenAccount(c *customer) {
	key := customerKey{c.name, c.plan.Name}
	if ctl.customers.byKey[key] != nil {
		return
	}
	c.account = ctl.customers.ledger.Account(c.account.CustomerHash, c.planIndex, c.firstLimiter, c.setSize, ctl.now)
	ctl.customers.byKey[key] = c
	ctl.customers.order = append(ctl.customers.order, c)
	c.account.SlotsInUse += c.slots
}
