package reducer

// Counters count what the program takes in, sends and answers, from its start.
type Counters struct {
	Received     uint64 // reqs taken in
	Malformed    uint64 // reqs that were none, answered 4xx
	Fetched      uint64 // fetches started
	Retries      uint64 // fetches started after a req's first
	NotSent      uint64 // fetches the Gateway asked for that came too late
	Served       uint64 // answers of a backend passed on
	Refused      uint64 // synthetic answers: a new try does no harm
	Failed       uint64 // synthetic answers: it may have run
	Overdue      uint64 // of these two, those the deadline forced
	Left         uint64 // clients gone before their answer
	TimedOut     uint64 // fetches not waited for any longer
	Unreachable  uint64 // fetches that got no connection
	Broken       uint64 // fetches whose connection broke
	Errored      uint64 // fetches the backend failed
	TurnedAway   uint64 // fetches the backend had no room for
	Probes       uint64
	Lists        uint64 // news of the backends
	PeerOut      uint64 // datagrams sent
	PeerIn       uint64 // datagrams taken in
	PeerBad      uint64 // datagrams dropped as malformed or of unknown origin
	OpenReqs     int    // reqs without an answer now
	OpenFetches  int    // fetches out now
	LiveBackends int    // listed and live now
}
