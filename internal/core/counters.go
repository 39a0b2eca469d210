package core

import (
	"encoding/json"

	"lemongate/internal/admission"
	"lemongate/internal/quota"
)

// CountsByCause counts what was turned away at the edge.
type CountsByCause [numCauses]uint64

// MarshalJSON names the causes; those that never came are left out.
func (b CountsByCause) MarshalJSON() ([]byte, error) {
	named := map[string]uint64{}
	for c, n := range b {
		if n > 0 {
			named[MalformedCause(c).String()] = n
		}
	}
	return json.Marshal(named)
}

// Counters count what the program takes in, sends and answers, from its start.
type Counters struct {
	Received     uint64        `json:"received"`      // reqs taken in
	Malformed    CountsByCause `json:"malformed"`     // what was no req, turned away with 4xx
	ClosedUnread uint64        `json:"closed_unread"` // client sessions closed with no req read whole
	ClosedIdle   uint64        `json:"closed_idle"`   // client sessions closed between reqs, for room
	Full         uint64        `json:"full"`          // newcomers for whose session there was no room, told to come again
	Fetched      uint64        `json:"fetched"`       // fetches started
	Retries      uint64        `json:"retries"`       // fetches started after a req's first
	NotSent      uint64        `json:"not_sent"`      // fetches the Gateway asked for that came too late
	Served       uint64        `json:"served"`        // answers of a backend passed on
	Refused      uint64        `json:"refused"`       // synthetic answers: a new try does no harm
	Failed       uint64        `json:"failed"`        // synthetic answers: it may have run
	Overdue      uint64        `json:"overdue"`       // of these two, those the deadline forced
	Left         uint64        `json:"left"`          // clients gone before their answer
	TimedOut     uint64        `json:"timed_out"`     // fetches not waited for any longer
	Unreachable  uint64        `json:"unreachable"`   // fetches that got no connection
	Broken       uint64        `json:"broken"`        // fetches whose connection broke
	Spoilt       uint64        `json:"spoilt"`        // of these, those whose answer had begun
	Stale        uint64        `json:"stale"`         // backend connections found unfit before a fetch began there
	Errored      uint64        `json:"errored"`       // fetches the backend failed
	TurnedAway   uint64        `json:"turned_away"`   // fetches the backend had no room for
	Probes       uint64        `json:"probes"`
	Lists        uint64        `json:"lists"`         // news of the backends
	Reloads      uint64        `json:"reloads"`       // configurations read again
	ReloadsBad   uint64        `json:"reloads_bad"`   // and those that could not be, or made no sense
	PeerOut      uint64        `json:"peer_out"`      // datagrams sent
	PeerIn       uint64        `json:"peer_in"`       // datagrams taken in
	PeerBad      uint64        `json:"peer_bad"`      // datagrams dropped as malformed or of unknown origin
	OpenReqs     int           `json:"open_reqs"`     // reqs without an answer now
	OpenFetches  int           `json:"open_fetches"`  // fetches out now
	LiveBackends int           `json:"live_backends"` // listed and live now

	Turned admission.RejectionCounts `json:"turned"` // synthetic answers by cause
	Quota  quota.Counters            `json:"quota"`  // rights on customers' stores
	Rollup UsageCounts               `json:"rollup"` // of the fleet's use
}
