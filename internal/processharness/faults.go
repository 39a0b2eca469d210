package processharness

import (
	"encoding/json"
	"slices"
	"syscall"
	"time"

	"lemongate/internal/lease"
	"lemongate/internal/simulation"
)

// leaseQueryTimeout is how long a limiter may take to report its leases.
const leaseQueryTimeout = 100 * time.Millisecond

// faultPlayers plays each kind of fault from its start to its end. Other kinds that Plays allows begin with
// the processes.
var faultPlayers = map[simulation.FaultKind]func(*tierRun, simulation.Fault){
	simulation.FaultPartition:      (*tierRun).playBlockedWays,
	simulation.FaultOutgoingLoss:   (*tierRun).playBlockedWays,
	simulation.FaultIncomingLoss:   (*tierRun).playBlockedWays,
	simulation.FaultLoss:           (*tierRun).playLoss,
	simulation.FaultRestart:        (*tierRun).playRestart,
	simulation.FaultStall:          (*tierRun).playStall,
	simulation.FaultBackendCrash:   (*tierRun).playBackendCrash,
	simulation.FaultBackendRefuses: (*tierRun).playBackendRefuses,
}

// repeatFault plays a fault at its time, and again as often as it is to start.
func (r *tierRun) repeatFault(f simulation.Fault) {
	at := r.startedAt.Add(seconds(f.At))
	for r.sleep(time.Until(at)) {
		r.playFault(f)
		at = at.Add(seconds(f.Every))
		if f.Every <= 0 {
			return
		}
		end := r.startedAt.Add(seconds(f.At + f.For))
		if f.Kind == simulation.FaultRestart && f.For > 0 && at.After(end) {
			return
		}
	}
}

// playFault plays a fault once, to its end.
func (r *tierRun) playFault(f simulation.Fault) {
	f.Limiters = r.faultLimiters(f)
	if play := faultPlayers[f.Kind]; play != nil {
		play(r, f)
	}
}

// faultLimiters are the numbers of the limiters that a fault is for. The limiters report who holds a lease:
// that directs a fault, and proves nothing.
func (r *tierRun) faultLimiters(f simulation.Fault) []int {
	switch f.Role {
	case "":
		return f.Limiters
	case simulation.RoleHolder:
		return r.leaseHolder()
	}
	acceptors := r.scenario.Acceptors()
	if f.Role == simulation.RoleOneAcceptor {
		return acceptors[time.Now().UnixNano()%int64(len(acceptors)):][:1]
	}
	return acceptors
}

// leaseHolder is the limiter that reports to hold the first task's lease, if any.
func (r *tierRun) leaseHolder() []int {
	r.mu.Lock()
	processes := slices.Clone(r.processes)
	r.mu.Unlock()
	for n, p := range processes {
		if p != nil && p.holdsLease() {
			return []int{n}
		}
	}
	return nil
}

// holdsLease reports whether a process reports to hold the first task's lease.
func (p *Process) holdsLease() bool {
	resp, err := consoleClient(leaseQueryTimeout).Get("http://" + p.Console + "/leases")
	if err != nil {
		return false
	}
	var views []lease.View
	err = json.NewDecoder(resp.Body).Decode(&views)
	_ = resp.Body.Close() // all that counts was read
	return err == nil && len(views) > 0 && views[0].Holds
}

// playBlockedWays blocks ways between limiters for a time.
func (r *tierRun) playBlockedWays(f simulation.Fault) {
	ways := r.blockedWays(f)
	for _, w := range ways {
		r.Network.Block(w.from, w.to, true)
	}
	r.sleep(seconds(f.For))
	for _, w := range ways {
		r.Network.Block(w.from, w.to, false)
	}
}

// blockedWays are the ways between limiters that a fault blocks.
func (r *tierRun) blockedWays(f simulation.Fault) []way {
	group := map[int]int{}
	for g, members := range f.Groups {
		for _, n := range members {
			group[n] = g
		}
	}
	blocks := map[simulation.FaultKind]func(from, to int) bool{
		simulation.FaultPartition:    func(from, to int) bool { return group[from] != group[to] },
		simulation.FaultOutgoingLoss: func(from, _ int) bool { return slices.Contains(f.Limiters, from) },
		simulation.FaultIncomingLoss: func(_, to int) bool { return slices.Contains(f.Limiters, to) },
	}[f.Kind]
	var ways []way
	for from := range r.Limiters {
		for to := range r.Limiters {
			if from != to && blocks(from, to) {
				ways = append(ways, way{from, to})
			}
		}
	}
	for _, w := range f.LostDirections {
		ways = append(ways, way{w[0], w[1]})
	}
	return ways
}

// playLoss loses datagrams for a time.
func (r *tierRun) playLoss(f simulation.Fault) {
	network := r.scenario.Network
	r.Network.SetQuality(f.Rate, network.Duplicated, milliseconds(network.DelayMax))
	r.sleep(seconds(f.For))
	r.restoreNetwork()
}

// restoreNetwork has the network lose, duplicate and delay datagrams as the scenario says.
func (r *tierRun) restoreNetwork() {
	network := r.scenario.Network
	r.Network.SetQuality(network.Loss, network.Duplicated, milliseconds(network.DelayMax))
}

// playRestart kills limiters, and starts them again without any state.
func (r *tierRun) playRestart(f simulation.Fault) {
	for _, n := range f.Limiters {
		r.killLimiter(n)
	}
	r.sleep(seconds(f.Down))
	for _, n := range f.Limiters {
		r.startLimiter(n)
	}
}

func (r *tierRun) killLimiter(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.processes[n]
	if p == nil {
		return
	}
	r.beginAway(n)
	p.Signal(syscall.SIGKILL)
	_ = p.Wait(r.Host) // killed
	r.processes[n] = nil
}

func (r *tierRun) startLimiter(n int) {
	p := r.Limiters[n].Start()
	p.Await(r.Host)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.processes[n] = p
	r.endAway(n)
}

// playStall stops the processes of limiters for a time.
func (r *tierRun) playStall(f simulation.Fault) {
	for _, n := range f.Limiters {
		r.signalLimiter(n, syscall.SIGSTOP, r.beginAway)
	}
	r.sleep(seconds(f.For))
	for _, n := range f.Limiters {
		r.signalLimiter(n, syscall.SIGCONT, r.endAway)
	}
}

// signalLimiter sends a limiter that is not down a signal, and records it.
func (r *tierRun) signalLimiter(n int, signal syscall.Signal, record func(n int)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.processes[n]; p != nil {
		p.Signal(signal)
		record(n)
	}
}

// beginAway records that a limiter is away from now on. The caller has locked the run.
func (r *tierRun) beginAway(n int) { r.away[n] = append(r.away[n], period{from: time.Now()}) }

// endAway records that a limiter is back. The caller has locked the run.
func (r *tierRun) endAway(n int) {
	if last := len(r.away[n]) - 1; last >= 0 {
		r.away[n][last].to = time.Now()
	}
}

// playBackendCrash stops backends for a time; the endpoint list shows it late.
func (r *tierRun) playBackendCrash(f simulation.Fault) {
	r.stopBackends(f.Backends)
	lasts := seconds(f.For)
	lag := min(lasts, milliseconds(r.scenario.Backends.ListLag))
	if r.sleep(lag) {
		for _, n := range f.Backends {
			r.SetListed(r.Backends[n], false)
		}
		lasts -= lag
	}
	r.sleep(lasts)
	r.restoreBackends(f.Backends)
}

// playBackendRefuses stops backends for a time; the endpoint list does not show it.
func (r *tierRun) playBackendRefuses(f simulation.Fault) {
	r.stopBackends(f.Backends)
	r.sleep(seconds(f.For))
	r.restoreBackends(f.Backends)
}

func (r *tierRun) stopBackends(numbers []int) {
	for _, n := range numbers {
		r.Backends[n].Down(true)
	}
}

func (r *tierRun) restoreBackends(numbers []int) {
	for _, n := range numbers {
		r.Backends[n].Down(false)
		r.SetListed(r.Backends[n], true)
	}
}
