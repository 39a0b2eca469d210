package processharness

import (
	"encoding/json"
	"slices"
	"syscall"
	"time"

	"lemongate/internal/lease"
	"lemongate/internal/simulation"
)

// leaseQueryTimeout limits the time that a limiter takes to report its leases.
const leaseQueryTimeout = 100 * time.Millisecond

// faultInjectors has a function for each kind of fault that is injected during a run. The function injects the fault and
// returns when the fault has ended. The other kinds that CheckSupported allows are in effect from the start of the
// processes.
var faultInjectors = map[simulation.FaultKind]func(*tierRun, simulation.Fault){
	simulation.FaultPartition:      (*tierRun).injectBlockedDirections,
	simulation.FaultOutgoingLoss:   (*tierRun).injectBlockedDirections,
	simulation.FaultIncomingLoss:   (*tierRun).injectBlockedDirections,
	simulation.FaultLoss:           (*tierRun).injectLoss,
	simulation.FaultRestart:        (*tierRun).injectRestart,
	simulation.FaultStall:          (*tierRun).injectStall,
	simulation.FaultBackendCrash:   (*tierRun).injectBackendCrash,
	simulation.FaultBackendRefuses: (*tierRun).injectBackendRefuses,
}

// scheduleFault injects a fault at its time, and again at its interval if the fault is repeated.
func (r *tierRun) scheduleFault(f simulation.Fault) {
	at := r.startedAt.Add(seconds(f.At))
	for r.sleep(time.Until(at)) {
		r.injectFault(f)
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

// injectFault injects a fault once, and returns when the fault has ended.
func (r *tierRun) injectFault(f simulation.Fault) {
	f.Limiters = r.faultLimiters(f)
	if inject := faultInjectors[f.Kind]; inject != nil {
		inject(r, f)
	}
}

// faultLimiters returns the numbers of the limiters that a fault applies to. It finds the lease holder by asking the
// limiters: the answer only selects the target of a fault, and the checker does not rely on it.
func (r *tierRun) faultLimiters(f simulation.Fault) []int {
	switch f.Role {
	case "":
		return f.Limiters
	case simulation.RoleLeaseHolder:
		return r.leaseHolder()
	}
	acceptors := r.scenario.Acceptors()
	if f.Role == simulation.RoleOneAcceptor {
		return acceptors[time.Now().UnixNano()%int64(len(acceptors)):][:1]
	}
	return acceptors
}

// leaseHolder returns the number of the limiter that reports holding the lease of the first task, or no number if none
// does.
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

// holdsLease reports whether a process reports that it holds the lease of the first task.
func (p *Process) holdsLease() bool {
	resp, err := adminClient(leaseQueryTimeout).Get("http://" + p.AdminAddr + "/leases")
	if err != nil {
		return false
	}
	var views []lease.View
	err = json.NewDecoder(resp.Body).Decode(&views)
	_ = resp.Body.Close() // the views have been read
	return err == nil && len(views) > 0 && views[0].Holds
}

// injectBlockedDirections blocks datagrams between limiters for a time, in the directions of the fault.
func (r *tierRun) injectBlockedDirections(f simulation.Fault) {
	directions := r.blockedDirections(f)
	for _, blocked := range directions {
		r.Network.Block(blocked.from, blocked.to, true)
	}
	r.sleep(seconds(f.For))
	for _, blocked := range directions {
		r.Network.Block(blocked.from, blocked.to, false)
	}
}

// blockedDirections returns the directions between limiters that a fault blocks. In a partition, a limiter that is in no
// group counts as a member of the first one.
func (r *tierRun) blockedDirections(f simulation.Fault) []direction {
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
	var directions []direction
	for from := range r.Limiters {
		for to := range r.Limiters {
			if from != to && blocks(from, to) {
				directions = append(directions, direction{from, to})
			}
		}
	}
	for _, lost := range f.LostDirections {
		directions = append(directions, direction{lost[0], lost[1]})
	}
	return directions
}

// injectLoss sets the fraction of lost datagrams to that of the fault for a time.
func (r *tierRun) injectLoss(f simulation.Fault) {
	network := r.scenario.Network
	r.Network.SetQuality(f.Rate, network.Duplicated, milliseconds(network.DelayMax))
	r.sleep(seconds(f.For))
	r.restoreNetwork()
}

// restoreNetwork sets the loss, duplication and delay of datagrams to those of the scenario.
func (r *tierRun) restoreNetwork() {
	network := r.scenario.Network
	r.Network.SetQuality(network.Loss, network.Duplicated, milliseconds(network.DelayMax))
}

// injectRestart kills limiters, and starts them again without any state.
func (r *tierRun) injectRestart(f simulation.Fault) {
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
	r.beginOutage(n)
	p.Signal(syscall.SIGKILL)
	_ = p.Wait(r.Host) // the error reports the kill signal
	r.processes[n] = nil
}

func (r *tierRun) startLimiter(n int) {
	p := r.Limiters[n].Start()
	p.AwaitHealthy(r.Host)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.processes[n] = p
	r.endOutage(n)
}

// injectStall stops the processes of limiters with SIGSTOP for a time.
func (r *tierRun) injectStall(f simulation.Fault) {
	for _, n := range f.Limiters {
		r.signalLimiter(n, syscall.SIGSTOP, r.beginOutage)
	}
	r.sleep(seconds(f.For))
	for _, n := range f.Limiters {
		r.signalLimiter(n, syscall.SIGCONT, r.endOutage)
	}
}

// signalLimiter sends a signal to a limiter, and calls record with its number. It does nothing if the limiter is down.
func (r *tierRun) signalLimiter(n int, signal syscall.Signal, record func(n int)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.processes[n]; p != nil {
		p.Signal(signal)
		record(n)
	}
}

// beginOutage records that a limiter is down or stopped from now on. The caller holds r.mu.
func (r *tierRun) beginOutage(n int) { r.outages[n] = append(r.outages[n], interval{from: time.Now()}) }

// endOutage records that a limiter is up again. The caller holds r.mu.
func (r *tierRun) endOutage(n int) {
	if last := len(r.outages[n]) - 1; last >= 0 {
		r.outages[n][last].to = time.Now()
	}
}

// injectBackendCrash takes backends down for a time. The endpoint list omits them after the list lag of the scenario.
func (r *tierRun) injectBackendCrash(f simulation.Fault) {
	r.stopBackends(f.Backends)
	remaining := seconds(f.For)
	lag := min(remaining, milliseconds(r.scenario.Backends.ListLag))
	if r.sleep(lag) {
		for _, n := range f.Backends {
			r.SetListed(r.Backends[n], false)
		}
		remaining -= lag
	}
	r.sleep(remaining)
	r.restoreBackends(f.Backends)
}

// injectBackendRefuses takes backends down for a time. The endpoint list keeps them.
func (r *tierRun) injectBackendRefuses(f simulation.Fault) {
	r.stopBackends(f.Backends)
	r.sleep(seconds(f.For))
	r.restoreBackends(f.Backends)
}

func (r *tierRun) stopBackends(numbers []int) {
	for _, n := range numbers {
		r.Backends[n].SetDown(true)
	}
}

func (r *tierRun) restoreBackends(numbers []int) {
	for _, n := range numbers {
		r.Backends[n].SetDown(false)
		r.SetListed(r.Backends[n], true)
	}
}
