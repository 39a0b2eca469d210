package core

import (
	"encoding/json"

	"lemongate/internal/admission"
	"lemongate/internal/quota"
)

// MalformedCounts counts malformed requests by cause.
type MalformedCounts [numCauses]uint64

// MarshalJSON encodes the counts as an object with the names of the causes as keys, without zero counts.
func (c MalformedCounts) MarshalJSON() ([]byte, error) {
	countsByName := map[string]uint64{}
	for cause, count := range c {
		if count > 0 {
			countsByName[MalformedCause(cause).String()] = count
		}
	}
	return json.Marshal(countsByName)
}

// Counters count what the process received, forwarded and answered since its start.
//
// The field tags are the names of 0.8.0, which operators and scripts read. Their meaning, where it is not obvious:
//
//	fetched, open_fetches  attempts at backends
//	turned_away            attempts that a backend rejected
//	refused                requests with a local reply saying that they may be sent again
//	turned                 requests that the admission controller ended without a response of a backend, by cause;
//	                       each is also in refused, or in failed if it must not be repeated
//	broken, spoilt         attempts that lost their connection; those of them whose response had begun
//	rollup                 usage reports; also the name of the lease for writing them
//	trials                 the name of the lease for recovery attempts
type Counters struct {
	Received             uint64          `json:"received"`      // requests
	Malformed            MalformedCounts `json:"malformed"`     // invalid requests, answered with 4xx
	ClosedUnread         uint64          `json:"closed_unread"` // client connections closed with no complete request read
	ClosedIdle           uint64          `json:"closed_idle"`   // client connections closed between requests
	ConnsRejected        uint64          `json:"full"`          // new client connections beyond the limit, answered with Retry-After
	AttemptsStarted      uint64          `json:"fetched"`       // attempts at backends, retries included
	Retries              uint64          `json:"retries"`       // retries among AttemptsStarted
	NotSent              uint64          `json:"not_sent"`      // attempts past the deadline, beyond the attempt limit, without a live backend or a lease, or withdrawn
	Served               uint64          `json:"served"`        // responses of backends sent to clients
	Rejected             uint64          `json:"refused"`       // local replies: the request may be sent again
	Failed               uint64          `json:"failed"`        // local replies: the request may have run
	Overdue              uint64          `json:"overdue"`       // local replies at the deadline, among Rejected and Failed
	ClientsDisconnected  uint64          `json:"left"`          // clients that disconnected before their response
	TimedOut             uint64          `json:"timed_out"`     // attempts that reached their time limit
	ConnectsFailed       uint64          `json:"unreachable"`   // attempts for which no connection could be made
	ConnsLost            uint64          `json:"broken"`        // attempts whose connection was lost
	ResponsesInvalid     uint64          `json:"spoilt"`        // those of ConnsLost whose response had begun
	StaleConns           uint64          `json:"stale"`         // backend connections found closed before an attempt used them
	Errored              uint64          `json:"errored"`       // attempts that the backend failed; they may have run
	AttemptsRejected     uint64          `json:"turned_away"`   // attempts that the backend rejected
	Probes               uint64          `json:"probes"`        // probes sent
	EndpointUpdates      uint64          `json:"lists"`         // watch events of the endpoint list
	Reloads              uint64          `json:"reloads"`       // successful reloads of the configuration
	ReloadsFailed        uint64          `json:"reloads_bad"`   // reloads of a configuration that could not be read or is not valid
	PeerMessagesSent     uint64          `json:"peer_out"`      // datagrams sent
	PeerMessagesReceived uint64          `json:"peer_in"`       // valid datagrams, also those dropped later because of their epoch or Seq
	PeerMessagesInvalid  uint64          `json:"peer_bad"`      // datagrams of another format version, malformed or of unknown origin
	OpenRequests         int             `json:"open_reqs"`     // requests without a response at present
	OpenAttempts         int             `json:"open_fetches"`  // attempts in flight at present
	LiveBackends         int             `json:"live_backends"` // backends listed as live at present

	Rejections admission.RejectionCounts `json:"turned"` // local replies by cause
	Quota      quota.Counters            `json:"quota"`  // of customers' quotas and ceilings
	Usage      UsageCounts               `json:"rollup"` // of usage reports

	Closes  CloseCounts `json:"closes,omitzero" since:"0.9.5"`        // closed client connections by reason
	Replies ReplyCounts `json:"replies,omitzero" since:"0.9.5"`       // local replies by reason
	Retried RetryCounts `json:"retried_after,omitzero" since:"0.9.5"` // retries by the result of the attempt before
}

// Counters returns the current values of the counters.
func (m *Machine) Counters() Counters {
	c := m.counters
	c.OpenRequests = m.requests.pending
	c.OpenAttempts = len(m.attempts)
	c.LiveBackends = m.liveBackends()
	c.Rejections = m.admission.controller.Rejections()
	c.Quota = m.admission.controller.QuotaCounters()
	c.Usage = m.usage.counts
	return c
}
