package core

import (
	"maps"
	"slices"

	"lemongate/internal/admission"
)

// This file decides which backend has an address that several backends are listed with. Only one process can listen there:
// the one that started last. The others have gone, although the list does not say so yet. Attempts for them would reach the
// new process, which may be cold, in another zone or cell, or unable to drop what its predecessor has run.

// supersededBackends are the listed backends whose addresses newer backends have, as they were listed, by ID.
type supersededBackends map[string]Endpoint

// An addressClaim is the claim of a backend on its address.
type addressClaim struct {
	endpoint Endpoint
	order    int // a later one wins among equal start times
}

// isNewer reports whether a claim wins over another one.
func (c addressClaim) isNewer(other addressClaim) bool {
	if c.endpoint.StartedAt != other.endpoint.StartedAt {
		return c.endpoint.StartedAt > other.endpoint.StartedAt
	}
	return c.order > other.order
}

// resolveAddresses returns an update of the list in which each address belongs to one backend: those that newer backends
// supersede are removed, and those whose address is free again are listed again. It returns the update itself if no
// address is listed twice.
func (l *endpointList) resolveAddresses(update []Endpoint, isComplete bool) []Endpoint {
	if len(l.superseded) == 0 && !l.hasSharedAddress(update, isComplete) {
		return update
	}
	claims := l.addressClaims(update, isComplete)
	wins := func(e Endpoint) bool { return e.Addr == "" || claims[e.Addr].endpoint.ID == e.ID }
	var resolved []Endpoint
	superseded := supersededBackends{}
	inUpdate := map[string]bool{}
	for _, e := range update {
		inUpdate[e.ID] = true
		if e.State != admission.Removed && !wins(e) {
			superseded[e.ID] = e
			if e.State = admission.Removed; isComplete {
				continue // what a complete list leaves out is removed
			}
		}
		resolved = append(resolved, e)
	}
	if !isComplete {
		resolved = append(resolved, l.resolveUnchanged(inUpdate, wins, superseded)...)
	}
	l.superseded = superseded
	return resolved
}

// resolveUnchanged returns the entries for the backends that an update does not name: those that are superseded now, and
// those that no longer are.
func (l *endpointList) resolveUnchanged(inUpdate map[string]bool, wins func(Endpoint) bool, superseded supersededBackends) (entries []Endpoint) {
	for _, id := range slices.Sorted(maps.Keys(l.byID)) {
		if e := *l.byID[id]; !inUpdate[id] && !wins(e) {
			superseded[id] = e
			e.State = admission.Removed
			entries = append(entries, e)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(l.superseded)) {
		e := l.superseded[id]
		switch {
		case inUpdate[id]:
		case wins(e):
			entries = append(entries, e)
		default:
			superseded[id] = e
		}
	}
	return entries
}

// hasSharedAddress reports whether two backends are listed with the same address after an update.
func (l *endpointList) hasSharedAddress(update []Endpoint, isComplete bool) bool {
	holders := make(map[string]string, len(update))
	for _, e := range update {
		if e.State == admission.Removed || e.Addr == "" {
			continue
		}
		if holder, ok := holders[e.Addr]; ok && holder != e.ID {
			return true
		}
		holders[e.Addr] = e.ID
	}
	if isComplete {
		return false
	}
	for id, listed := range l.byID {
		if holder, ok := holders[listed.Addr]; ok && holder != id {
			return true // unless the update moves or removes it, which resolveAddresses finds
		}
	}
	return false
}

// addressClaims returns the claim that wins for each address after an update.
func (l *endpointList) addressClaims(update []Endpoint, isComplete bool) map[string]addressClaim {
	claims := map[string]addressClaim{}
	order := 0
	claim := func(e Endpoint) {
		order++
		c := addressClaim{e, order}
		if other, taken := claims[e.Addr]; e.Addr != "" && (!taken || c.isNewer(other)) {
			claims[e.Addr] = c
		}
	}
	inUpdate := map[string]bool{}
	for _, e := range update {
		inUpdate[e.ID] = true
	}
	if !isComplete { // the claims of the backends that the update does not name; those that hold their addresses are newer
		for _, id := range slices.Sorted(maps.Keys(l.superseded)) {
			if !inUpdate[id] {
				claim(l.superseded[id])
			}
		}
		for _, id := range slices.Sorted(maps.Keys(l.byID)) {
			if !inUpdate[id] {
				claim(*l.byID[id])
			}
		}
	}
	l.claimUpdated(update, claim)
	return claims
}

// claimUpdated makes the claims of an update: first those of backends that were superseded before and are listed as they
// were, so that they do not win over the backends that superseded them.
func (l *endpointList) claimUpdated(update []Endpoint, claim func(Endpoint)) {
	isSuperseded := func(e Endpoint) bool {
		before, ok := l.superseded[e.ID]
		return ok && before.Addr == e.Addr && before.StartedAt == e.StartedAt
	}
	for _, first := range []bool{true, false} {
		for _, e := range update {
			if e.State != admission.Removed && isSuperseded(e) == first {
				claim(e)
			}
		}
	}
}
