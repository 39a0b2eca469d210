package hotrestart

// Phase is a stage of a hot restart, as one side sees it.
type Phase uint8

// The phases. A successor that runs alone may be a predecessor later.
const (
	Alone         Phase = iota // either side: admits; knows of no other process
	Offered                    // predecessor: admits; waits for the successor to be prepared
	Transferring               // predecessor: neither side admits; state and sockets are in transit
	Probation                  // predecessor: has sent Commit; the successor admits and sends heartbeats
	Finishing                  // predecessor: has sent Final; completes its open requests
	AwaitingOffer              // successor: has sent Hello, and waits for Offer
	Receiving                  // successor: is prepared, and waits for the state
	Adopting                   // successor: has the state, and waits for Commit
	Serving                    // successor: admits; the predecessor monitors heartbeats until it sends Final
	Abandoned                  // successor: will never take over
	numPhases
)

// String returns the name of a phase. Tests and logs have used these names since 0.8.0.
func (p Phase) String() string {
	return [numPhases]string{
		Alone:         "alone",
		Offered:       "offered",
		Transferring:  "transferring",
		Probation:     "trial",
		Finishing:     "committed",
		AwaitingOffer: "greeting",
		Receiving:     "receiving",
		Adopting:      "taking",
		Serving:       "owning",
		Abandoned:     "lost",
	}[p]
}
