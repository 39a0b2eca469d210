package core

import (
	"maps"
	"slices"

	"lemongate/internal/admission"
)

// This file maintains the endpoint list, and closes connections to backends that should take no new requests on them.

// Endpoint is a backend of the endpoint list and its address.
type Endpoint struct {
	admission.Backend
	Addr string // host:port
}

// endpointList is the endpoint list and its source.
type endpointList struct {
	byID       map[string]*Endpoint // live and draining backends, by ID
	superseded supersededBackends
	generation int64
	discovery  string // address at which the list is watched
}

func newEndpointList(discovery string) endpointList {
	return endpointList{byID: map[string]*Endpoint{}, discovery: discovery}
}

// onEndpointsUpdated applies a watch event. The first one makes a starting process ready.
func (m *Machine) onEndpointsUpdated(ev *EndpointsUpdated) {
	m.applyEndpoints(ev)
	if m.phase == Starting {
		m.enterPhase(Serving)
	}
}

// applyEndpoints updates the list. It closes the idle connections to a backend that drains, was removed, restarted, or
// moved to another address, so that no new attempt uses them. Removed backends are deleted here: most are replaced under
// new IDs, and one that returns is listed again. The admission controller keeps their state for longer.
func (m *Machine) applyEndpoints(ev *EndpointsUpdated) {
	m.counters.EndpointUpdates++
	m.endpoints.generation = ev.Generation
	isComplete := ev.Kind == admission.ListComplete || ev.Kind == admission.ListCached
	endpoints := m.endpoints.resolveAddresses(ev.Endpoints, isComplete)
	list := &admission.EndpointList{Kind: ev.Kind}
	for _, endpoint := range endpoints {
		list.Backends = append(list.Backends, endpoint.Backend)
		m.applyEndpoint(&endpoint)
	}
	if isComplete {
		m.removeUnlisted(endpoints)
	}
	m.stepController(list)
}

// applyEndpoint applies one entry of an update to the list.
func (m *Machine) applyEndpoint(endpoint *Endpoint) {
	old := m.endpoints.byID[endpoint.ID]
	if old != nil && (endpoint.State != admission.Live || endpoint.StartedAt != old.StartedAt || endpoint.Addr != old.Addr) {
		m.emit(CloseBackendConns{Backend: endpoint.ID})
	}
	if endpoint.State == admission.Removed {
		delete(m.endpoints.byID, endpoint.ID)
		return
	}
	stored := *endpoint
	m.endpoints.byID[endpoint.ID] = &stored
}

// removeUnlisted removes the backends that are missing from a complete list.
func (m *Machine) removeUnlisted(listed []Endpoint) {
	listedIDs := map[string]bool{}
	for i := range listed {
		listedIDs[listed[i].ID] = true
	}
	for _, id := range slices.Sorted(maps.Keys(m.endpoints.byID)) { // sorted, so that the order of effects is deterministic
		if !listedIDs[id] {
			delete(m.endpoints.byID, id)
			m.emit(CloseBackendConns{Backend: id})
		}
	}
}

// liveBackends returns the number of backends that are listed as live.
func (m *Machine) liveBackends() int {
	live := 0
	for _, endpoint := range m.endpoints.byID {
		if endpoint.State == admission.Live {
			live++
		}
	}
	return live
}

// probeBackend sends a probe, unless the backend is not live or the successor sends the probes.
func (m *Machine) probeBackend(id string) {
	endpoint := m.endpoints.byID[id]
	if endpoint == nil || endpoint.State != admission.Live || m.hotRestart.stateSent {
		return
	}
	m.counters.Probes++
	m.emit(ProbeBackend{Backend: endpoint.ID, Addr: endpoint.Addr})
}

func (m *Machine) onProbeFinished(ev *ProbeFinished) {
	m.stepController(&admission.ProbeResult{Backend: ev.Backend, Result: ev.Result, Latency: ev.Latency, Report: ev.Report})
}
