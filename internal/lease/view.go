package lease

import "time"

// Operators' scripts read the JSON tags, which therefore differ from the names of some fields.

// Counts are counters of the events of a task's lease at this limiter.
type Counts struct {
	Won                 uint64 `json:"won"`
	Renewed             uint64 `json:"renewed"`
	Lost                uint64 `json:"lost"` // leases that expired
	Released            uint64 `json:"given"`
	LateActions         uint64 `json:"refused"` // actions that were not started because the lease had ended
	InvalidMessages     uint64 `json:"bad"`     // proposals that were ignored as invalid
	UnansweredProposals uint64 `json:"waited"`  // proposals that got no vote because this acceptor was not active yet
}

// View is the state of a task as operators see it.
type View struct {
	Task           string        `json:"task"`
	Acceptors      []Limiter     `json:"keepers"`
	ActiveAcceptor bool          `json:"keeps"`  // this limiter is an acceptor of the task, and votes
	Phase          string        `json:"phase"`  // of its proposer
	Holder         int           `json:"holder"` // the lease holder as last learned here; -1 if none is known
	Holds          bool          `json:"holds"`  // this limiter holds the lease
	Token          uint64        `json:"token"`  // of this limiter's lease
	ValidFor       time.Duration `json:"for"`    // how much longer this limiter may act under the lease; in ns in JSON
	HighestToken   uint64        `json:"known"`  // the greatest token known here
	Payload        uint64        `json:"mark"`   // the greatest payload known here
	Counts         Counts        `json:"counts"`
}

// Views returns the state of all tasks.
func (a *Agent) Views(now time.Duration) (list []View) {
	for _, t := range a.tasks {
		list = append(list, t.view(now))
	}
	return list
}

func (t *task) view(now time.Duration) View {
	v := View{
		Task:           t.name,
		Acceptors:      t.config.Acceptors,
		ActiveAcceptor: t.acceptor != nil && t.acceptor.Active(now),
		Phase:          t.proposer.Phase().String(),
		Holder:         -1,
		HighestToken:   t.proposer.highestToken,
		Payload:        t.proposer.payload,
		Counts:         t.counts,
	}
	if t.proposer.holderKnown {
		v.Holder = int(t.proposer.holder)
	}
	if token, until, held := t.proposer.Holds(now); held {
		v.Holds, v.Token, v.ValidFor = true, token, until-now
	}
	return v
}
