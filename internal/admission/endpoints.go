package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lemongate/internal/gossip"
	"lemongate/internal/quota"
)

// This file manages the endpoint list and the backends that this limiter uses: all of them or, with many limiters and
// backends, a subset chosen by rendezvous hashing (see subsetSize).

const (
	// minSubset is the minimum number of backends in the subset of a limiter: enough to avoid one that fails.
	minSubset = 8
	// minLimitersPerBackend is the minimum mean number of limiters that use a backend. With at most that many
	// limiters, each uses all backends.
	minLimitersPerBackend = 12.0
)

// endpointSet contains all known backends.
type endpointSet struct {
	listed                  []*backend // live backends; with subsets, in the order of rendezvousRank
	byID                    map[string]*backend
	byGossipKey             map[uint32]*backend // listed backends; nil where several share a key
	medianLatencyPerAttempt float64             // of the listed backends; without unit, 1 is typical
	forgetAfter             time.Duration       // time after which removed backends are deleted
	pollDue                 bool                // the last poll failed or ended
}

func newEndpointSet(longestObjective time.Duration) endpointSet {
	return endpointSet{
		byID: map[string]*backend{}, byGossipKey: map[uint32]*backend{}, medianLatencyPerAttempt: 1,
		forgetAfter: forgetObjectives * longestObjective,
	}
}

// onEndpointList updates the known backends. A draining or removed backend gets no more attempts.
func (ctl *Controller) onEndpointList(ev *EndpointList) {
	if ev.Kind == ListFailed {
		ctl.endpoints.pollDue = ctl.settings.PollEndpoints
		return
	}
	started, capacity := ctl.mergeEndpoints(ev), ctl.meanCapacity()
	for _, b := range started {
		b.latencyPerAttempt, b.lastResponseAt = 1, ctl.now
		if ctl.settings.CapacitiesKnown && b.RelativeCapacity > 0 && capacity > 0 {
			b.latencyPerAttempt = capacity / b.RelativeCapacity
		}
	}
	ctl.dispatch()
}

// pollIfDue starts a new poll of the endpoint list after the last one has failed or ended.
func (ctl *Controller) pollIfDue() {
	if ctl.endpoints.pollDue {
		ctl.endpoints.pollDue = false
		ctl.emit(PollEndpoints{})
	}
}

// mergeEndpoints merges a complete list or a delta, and returns the backends that are new or have restarted.
func (ctl *Controller) mergeEndpoints(ev *EndpointList) (started []*backend) {
	if ev.Kind != ListDelta {
		for _, b := range ctl.endpoints.byID { // reverted below for backends in the list
			b.State, b.unavailable = Removed, true
			b.markRemoved(ctl.now)
		}
	}
	for _, entry := range ev.Backends {
		b := ctl.endpoints.byID[entry.ID]
		restarted := b != nil && b.StartedAt != entry.StartedAt && entry.State == Live
		if b == nil || restarted {
			b = newBackend(entry.ID, b)
			ctl.endpoints.byID[entry.ID] = b
			started = append(started, b)
		}
		b.Backend = entry
		b.unavailable = entry.State != Live
		if entry.State == Removed {
			b.markRemoved(ctl.now)
		} else {
			b.removedAt = 0
		}
	}
	ctl.relist()
	return started
}

// newBackend returns the state of a backend that is new or has restarted. For a restarted backend, earlier is its state
// before the restart: the attempts in flight are kept, the measurements are not. For a new backend, earlier is nil.
func newBackend(id string, earlier *backend) *backend {
	b := &backend{relativeLoad: 1, gossipKey: gossip.BackendKey(hashOf(id))}
	if earlier != nil {
		b.inFlight = earlier.inFlight
		for _, r := range b.inFlight {
			r.backend = b
		}
	}
	return b
}

// markRemoved records the time of a removal, unless it is already recorded.
func (b *backend) markRemoved(now time.Duration) {
	if b.removedAt == 0 {
		b.removedAt = now
	}
}

// relist rebuilds the list of live backends, and deletes backends that were removed long ago: a removed backend may
// come back, but most are replaced under new IDs.
func (ctl *Controller) relist() {
	set := &ctl.endpoints
	clear(set.listed) // otherwise the unused part of the array would keep backends reachable
	set.listed = set.listed[:0]
	for id, b := range set.byID {
		forgotten := len(b.inFlight) == 0 && b.removedAt > 0 && ctl.now-b.removedAt > set.forgetAfter
		switch {
		case !b.unavailable:
			set.listed = append(set.listed, b)
		case forgotten:
			delete(set.byID, id)
		}
	}
	slices.SortFunc(set.listed, func(a, b *backend) int { return cmp.Compare(a.ID, b.ID) })
	if ctl.subsetSize() < len(set.listed) {
		slices.SortStableFunc(set.listed, func(a, b *backend) int {
			return cmp.Compare(ctl.rendezvousRank(a), ctl.rendezvousRank(b))
		})
	}
	set.indexByGossipKey()
}

// indexByGossipKey rebuilds byGossipKey. Backends that share a key cannot be found by it, as an observation of one would
// be attributed to the other.
func (s *endpointSet) indexByGossipKey() {
	clear(s.byGossipKey)
	for _, b := range s.listed {
		if _, shared := s.byGossipKey[b.gossipKey]; shared {
			s.byGossipKey[b.gossipKey] = nil
			continue
		}
		s.byGossipKey[b.gossipKey] = b
	}
}

// rendezvousRank returns the sort key of a backend for this limiter, whose subset is the first backends in that order.
// The order of two backends does not change when others are added or removed, and each backend is used by about the same
// number of limiters.
func (ctl *Controller) rendezvousRank(b *backend) uint64 {
	return quota.Mix64(uint64(hashOf(b.ID))<<32 | uint64(uint32(ctl.settings.Self)))
}

// subsetSize returns the number of backends in the subset of this limiter; the list may be shorter.
func (ctl *Controller) subsetSize() int {
	perLimiter := minLimitersPerBackend * float64(len(ctl.endpoints.listed)) / float64(ctl.settings.Limiters)
	return max(int(math.Ceil(perLimiter)), minSubset)
}

// limitersPerBackend returns the mean number of limiters that use a backend.
func (ctl *Controller) limitersPerBackend() float64 {
	fraction := float64(ctl.subsetSize()) / float64(max(len(ctl.endpoints.listed), 1))
	return float64(ctl.settings.Limiters) * min(fraction, 1)
}

// usableSubset returns the number of listed backends, counted from the first, that this limiter chooses from, and their
// capacity in warm backends. The subset has subsetSize backends that are not ejected, and more if many of them are
// warming up.
func (ctl *Controller) usableSubset() (size int, capacity float64) {
	usable, wanted := 0, ctl.subsetSize()
	for size < len(ctl.endpoints.listed) && (usable < wanted || capacity < minWarmFraction*float64(wanted)) {
		if b := ctl.endpoints.listed[size]; !b.ejected() {
			usable++
			capacity += ctl.warmUpFraction(b)
		}
		size++
	}
	return size, capacity
}

// meanCapacity returns the mean relative capacity of the listed backends.
func (ctl *Controller) meanCapacity() float64 {
	sum := 0.0
	for _, b := range ctl.endpoints.listed {
		sum += b.RelativeCapacity
	}
	return sum / float64(max(len(ctl.endpoints.listed), 1))
}
