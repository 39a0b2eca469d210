package hotrestart

// Phase is a stage of a hot restart, as one side sees it.
type Phase uint8

// The phases. A process is the successor until it serves alone, and may then be a predecessor later.
const (
	Alone        Phase = iota // either side: admits; knows of no other process
	Offered                   // predecessor: admits; waits for the successor to be prepared
	Transferring              // predecessor: neither side admits; state and sockets are in transit
	Probation                 // predecessor: has sent Commit; the successor admits, and is watched by its heartbeats
	Finishing                 // predecessor: has sent Final; finishes the requests that are open
	Greeting                  // successor: has sent Hello
	Receiving                 // successor: is prepared, and waits for the state
	Adopting                  // successor: has the state, and waits for Commit
	Serving                   // successor: admits; the predecessor watches until it sends Final
	Abandoned                 // successor: will never take over
	numPhases
)

// String returns the name of a phase, as tests and logs have had it since 0.8.0.
func (p Phase) String() string {
	return [numPhases]string{
		Alone:        "alone",
		Offered:      "offered",
		Transferring: "transferring",
		Probation:    "trial",
		Finishing:    "committed",
		Greeting:     "greeting",
		Receiving:    "receiving",
		Adopting:     "taking",
		Serving:      "owning",
		Abandoned:    "lost",
	}[p]
}
