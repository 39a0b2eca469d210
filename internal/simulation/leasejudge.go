package simulation

import (
	"time"

	"lemongate/internal/core"
	"lemongate/internal/lease"
)

const (
	// leaseJudgePeriod is how often the leases are judged.
	leaseJudgePeriod = 2 * time.Millisecond
	// clockDrift is the most by which the rates of clocks are assumed to differ, as a fraction.
	clockDrift = 0.01
)

// leaseJudge judges the leases of one task from outside: by what reaches the backends, and by whether each
// limiter would act now, by its own clock, also one that is stalled. One limiter holds the lease at a time,
// and fencing tokens grow.
type leaseJudge struct {
	task          string
	enabled       bool
	actedToken    uint64 // the greatest of an attempt
	heldToken     uint64 // the greatest that was held
	vacantSince   time.Duration
	vacancies     []time.Duration // times without a holder
	messages      map[int]int     // by receiver
	bytesOfLeases int
}

// leaseSettings are the settings of leases of a limiter that starts now.
func (w *world) leaseSettings() *lease.Settings {
	sc := w.scenario.Leases
	return &lease.Settings{
		Tasks:         sc.Tasks,
		AcceptorCount: sc.AcceptorCount,
		Duration:      milliseconds(sc.Duration),
		ClockDrift:    clockDrift,
		MinToken:      uint64(w.now / time.Millisecond),
	}
}

// startLeaseJudge judges leases from now on, if the scenario has any.
func (w *world) startLeaseJudge() {
	if w.scenario.Leases == nil {
		return
	}
	w.leases = leaseJudge{task: w.scenario.Leases.Tasks[0], enabled: true, messages: map[int]int{}}
	w.after(0, w.judgePeriodically)
}

func (w *world) judgePeriodically() {
	w.judgeLeases()
	w.after(leaseJudgePeriod, w.judgePeriodically)
}

// holds reports whether a limiter holds the lease now, by its own clock, and under which token.
func (w *world) holds(l *limiter) (token uint64, held bool) {
	if l.machine == nil {
		return 0, false
	}
	return l.machine.Holds(l.clock(), w.leases.task)
}

// leaseHolder is the limiter that holds the lease now, or -1.
func (w *world) leaseHolder() int {
	for i, l := range w.limiters {
		if _, held := w.holds(l); held {
			return i
		}
	}
	return -1
}

// judgeLeases judges who holds the lease now, and who is restarting.
func (w *world) judgeLeases() {
	holder := -1
	for i, l := range w.limiters {
		token, held := w.holds(l)
		if !held {
			continue
		}
		if holder >= 0 {
			w.result.Overlaps++
			w.breach("limiters %d and %d both hold the lease of %s", holder, i, w.leases.task)
		}
		holder = i
		w.judgeHeldToken(i, token)
	}
	w.judgeRestarts()
	w.leases.recordVacancy(w.now, holder < 0)
}

// judgeHeldToken judges the token under which a limiter holds the lease.
func (w *world) judgeHeldToken(limiter int, token uint64) {
	switch {
	case token < w.leases.heldToken:
		w.breach("limiter %d holds token %d after %d", limiter, token, w.leases.heldToken)
	case token > w.leases.heldToken:
		w.result.Holders++
		w.leases.heldToken = token
	}
}

// recordVacancy records whether the lease has no holder now.
func (j *leaseJudge) recordVacancy(now time.Duration, vacant bool) {
	switch {
	case vacant && j.vacantSince == 0:
		j.vacantSince = now
	case !vacant && j.vacantSince > 0:
		j.vacancies = append(j.vacancies, now-j.vacantSince)
		j.vacantSince = 0
	}
}

// judgeToken judges the fencing token of an attempt that has reached a backend.
func (w *world) judgeToken(a *attempt) {
	if a.token == 0 {
		return
	}
	w.result.LeasedAttempts++
	if a.token < w.leases.actedToken {
		w.result.TokenFalls++
		w.breach("limiter %d acts under token %d after %d", a.limiter.number, a.token, w.leases.actedToken)
	}
	w.leases.actedToken = max(w.leases.actedToken, a.token)
}

// recordDatagram counts a datagram, if it is about leases.
func (j *leaseJudge) recordDatagram(e core.SendToPeer) {
	if j.enabled && lease.IsMessage(e.Data) {
		j.messages[e.Peer]++
		j.bytesOfLeases += len(e.Data)
	}
}

// summarizeLeases puts the figures of the leases into the result. The first vacancy is that of the start
// and does not count; one that lasts at the end does.
func (w *world) summarizeLeases() {
	j, r := &w.leases, &w.result
	if !j.enabled {
		return
	}
	if j.vacantSince > 0 {
		j.vacancies = append(j.vacancies, w.now-j.vacantSince)
	}
	for _, vacancy := range j.vacancies[min(len(j.vacancies), 1):] {
		ms := float64(vacancy) / float64(time.Millisecond)
		r.NoHolder += ms / float64(len(j.vacancies)-1)
		r.NoHolderWorst = max(r.NoHolderWorst, ms)
	}
	messages := 0
	for _, n := range j.messages {
		messages += n
		r.LeaseBusiest = max(r.LeaseBusiest, float64(n)/w.scenario.Seconds)
	}
	r.LeaseMessages = float64(messages) / w.scenario.Seconds
	r.LeaseBytes = float64(j.bytesOfLeases) / w.scenario.Seconds
	r.RestartsOpen = w.restarts.waiting + len(w.restarts.restarting)
	w.summarizeUsage()
}
