package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"lemongate/internal/processharness"
)

const (
	// requestsPerSecond is the load of a run, over all limiters.
	requestsPerSecond = 150
	// crowdConns are the idle connections that some runs open at each limiter.
	crowdConns = 400
	// socketLimit is that of each limiter.
	socketLimit = 1024
	// normalDelay and slowDelay are how long a backend takes to respond.
	normalDelay = 15 * time.Millisecond
	slowDelay   = 900 * time.Millisecond
	// customers is how many customers there are.
	customers = 40
	// limitedCustomers are further customers, on a plan with a limit of maxInFlight attempts in flight. One in
	// limitedShare requests is theirs. Three in four of a customer's come through one limiter, which has to borrow
	// slots for them.
	limitedCustomers, limitedShare = 4, 6
	maxInFlight                    = 3
	// longWork is how long backends work on every second keyed request of theirs: longer than a slot is lent.
	longWork = 2300 * time.Millisecond
	// One in mannerShare clients leaves before its response, one ends its sending behind its request, and one sends
	// two requests at once. Who leaves waits for less than longestWait, on a plan with a limit of attempts in flight
	// longWaitFactor times that.
	mannerShare    = 25
	longestWait    = 40 * time.Millisecond
	longWaitFactor = 30
	// lossInTrouble and lossOtherwise are the fractions of the messages between limiters that are lost.
	lossInTrouble = 0.4
	lossOtherwise = 0.02
	// operatorFile is the operators' file of each limiter. A successor counts as dead after twice the longest time
	// for which the schedule suspends a process.
	operatorFile = `{"takeover":{"on":true,"silence_ms":300}}`
	// overdueAfter is how long after SIGTERM a process that is still there is asked to log its counters.
	overdueAfter = killAfter - 150*time.Millisecond
	// logLines is how many lines of the log of a process are shown that did not end as it should.
	logLines = 12
	// settleTime is how long limiters get after the last request before their resources are read.
	settleTime = 1500 * time.Millisecond
)

// run is a run of the soak.
type run struct {
	tier      *processharness.Tier
	startedAt time.Time
	steps     sync.WaitGroup

	mu        sync.Mutex
	busy      [limiters]bool // a limiter is being shut down or started
	unlisted  [backends]bool
	processes [limiters]*processharness.Process
	observed  observations

	suspensions []suspension
}

// A suspension is a time in which a process was suspended.
type suspension struct {
	process  *processharness.Process
	from, to time.Time
}

// Result is what came of a run.
type Result struct {
	Requests int
	Served   int
	Restarts int // of all kinds
	Hot      int // hot restarts, with those that failed as they should
	Killed   int // limiters that SIGKILL ended after SIGTERM
	Left     int // clients that did not wait for their response
	// LongAttempts are those on a plan with a limit of attempts in flight that took longer than a slot is lent.
	LongAttempts int
	Breaches     []string // of rules, a line each
}

// Play plays a run with limiters that a program starts.
func Play(host processharness.Host, seed uint64, duration time.Duration, program ...string) Result {
	r := newRun(host, program)
	load := r.startLoad()
	if seed%3 == 0 { // every third run has a crowd of idle connections
		for n := range limiters {
			if err := load.Warm(n, crowdConns); err != nil {
				host.Errorf("crowd: %v", err)
			}
		}
	}
	for _, step := range Schedule(seed, duration) {
		time.Sleep(time.Until(r.startedAt.Add(step.At)))
		r.steps.Go(func() { r.play(step) })
	}
	r.steps.Wait()
	time.Sleep(time.Until(r.startedAt.Add(duration)))
	r.observed.results = load.End()
	time.Sleep(settleTime)
	return r.result()
}

// newRun starts the limiters of a run.
func newRun(host processharness.Host, program []string) *run {
	tier := processharness.New(host, limiters, backends, append(slices.Clone(program), "--operator", writeOperatorFile(host))...)
	tier.Sockets = socketLimit
	tier.ReportUtilization = true
	tier.Plans = []processharness.Plan{{Name: "free"}, {Name: "small", Rate: 5, Burst: 24, CeilingRate: 10, CeilingBurst: 48}, {Name: limitedPlan, MaxConcurrent: maxInFlight}}
	tier.Work = workOn
	for _, b := range tier.Backends {
		b.Delay(normalDelay)
	}
	tier.Network.SetQuality(lossOtherwise, 0, time.Millisecond)
	r := &run{tier: tier}
	for i, l := range tier.Limiters {
		r.processes[i] = l.Start()
	}
	for _, p := range r.processes {
		p.Await(host)
	}
	r.observed.fresh = resourcesOf(r.processes[0])
	r.startedAt = time.Now()
	return r
}

// writeOperatorFile writes an operators' file that has hot restarts on, and returns the path.
func writeOperatorFile(host processharness.Host) string {
	path := filepath.Join(host.TempDir(), "operator.json")
	if err := os.WriteFile(path, []byte(operatorFile), 0o600); err != nil {
		host.Fatal(err)
	}
	return path
}

// startLoad starts requests of all classes and plans at all limiters.
func (r *run) startLoad() *processharness.Load {
	classes := []string{processharness.ClassIdempotent, processharness.ClassKeyed, processharness.ClassNonIdempotent}
	load := r.tier.StartLoad(requestsPerSecond, func(n int) processharness.Request {
		request := processharness.Request{
			Limiter: n % limiters, Class: classes[n/limiters%len(classes)], Plan: []string{"free", "small"}[n/2%2],
			Customer: uint64(1 + n%customers), SetSize: limiters,
		}
		if n%limitedShare == 0 {
			limitRequest(n/limitedShare, &request, classes)
		}
		chooseManner(n, &request)
		if request.Class == processharness.ClassKeyed {
			request.Key, request.Body = fmt.Sprintf("%032x", n), n%3*1000
		}
		return request
	})
	load.Resend()
	return load
}

// chooseManner sets how the client of the request of a number uses its connection.
func chooseManner(n int, request *processharness.Request) {
	const steps = 8 // of the time for which a client waits
	switch n % mannerShare {
	case 1:
		request.Manner = processharness.Leaving
		request.LeaveAfter = longestWait * time.Duration(n/mannerShare%steps) / steps
		if request.Plan == limitedPlan {
			request.LeaveAfter *= longWaitFactor
		}
	case 2:
		request.Manner = processharness.HalfClosing
	case 3:
		request.Manner = processharness.Pipelining
	}
}

// limitedPlan is the plan of the customers with a limit of attempts in flight.
const limitedPlan = "slots"

// limitRequest makes a request one of a customer with a limit of attempts in flight; n counts these requests.
func limitRequest(n int, request *processharness.Request, classes []string) {
	index, turn := n%limitedCustomers, n/limitedCustomers
	request.Plan, request.Customer = limitedPlan, uint64(customers+1+index)
	request.Class = classes[turn%len(classes)]
	request.Limiter = index % limiters
	if turn%4 == 0 {
		request.Limiter = (index + 1 + turn/4%(limiters-1)) % limiters
	}
}

// isLimited reports whether an attempt is of a customer with a limit of attempts in flight.
func isLimited(a processharness.Attempt) bool {
	number, err := strconv.ParseUint(a.Customer, 16, 64)
	return err == nil && number > customers
}

// workOn returns how long backends work at least on an attempt.
func workOn(a processharness.Attempt) time.Duration {
	if !a.IsKeyed || !isLimited(a) {
		return 0
	}
	number, err := strconv.ParseUint(a.CallID[len(a.CallID)/2:], 16, 64) // of the request
	if err != nil || number/limitedShare/limitedCustomers/3%2 > 0 {
		return 0
	}
	return longWork
}

// play plays a step to its end.
func (r *run) play(step Step) {
	switch step.Action {
	case Reload:
		r.process(step.Target).Signal(syscall.SIGHUP)
	case LogCounters:
		r.process(step.Target).Signal(syscall.SIGUSR1)
	case Suspend:
		r.suspend(r.process(step.Target), step.For) // also one that shuts down
	case Terminate:
		r.replace(step.Target, func(out *outage) { r.terminate(r.process(step.Target), out) })
	case Crash:
		r.replace(step.Target, func(out *outage) {
			out.crash = true
			r.kill(r.process(step.Target))
			time.Sleep(step.For)
		})
	case HotRestart:
		r.hotRestart(step)
	case EndLate:
		r.hotRestart(step)
		r.replace(step.Target, func(out *outage) {
			out.crash = true
			r.kill(r.process(step.Target))
		})
	case EndEarly, EndInTrial:
		r.failSuccessor(step)
	case Unlist:
		r.unlist(step)
	case SlowBackend:
		r.tier.Backends[step.Target].Delay(slowDelay)
		time.Sleep(step.For)
		r.tier.Backends[step.Target].Delay(normalDelay)
	case LoseDatagrams:
		r.tier.Network.SetQuality(lossInTrouble, 0, time.Millisecond)
		time.Sleep(step.For)
		r.tier.Network.SetQuality(lossOtherwise, 0, time.Millisecond)
	}
}

// suspend holds a process up for a time.
func (r *run) suspend(p *processharness.Process, duration time.Duration) {
	from := time.Now()
	r.mu.Lock()
	r.suspensions = append(r.suspensions, suspension{p, from, from.Add(duration)})
	r.mu.Unlock()
	p.Signal(syscall.SIGSTOP)
	time.Sleep(duration)
	p.Signal(syscall.SIGCONT)
}

// heldUp returns for how long a process was suspended between two times. Each suspension counts, also
// where it overlaps another one.
func (r *run) heldUp(p *processharness.Process, from, to time.Time) (sum time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.suspensions {
		begin, end := s.from, s.to
		if begin.Before(from) {
			begin = from
		}
		if end.After(to) {
			end = to
		}
		if s.process == p && end.After(begin) {
			sum += end.Sub(begin)
		}
	}
	return sum
}

func (r *run) process(limiter int) *processharness.Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.processes[limiter]
}

// replace ends a process of a limiter and starts the next one, unless that is done already.
func (r *run) replace(limiter int, end func(*outage)) {
	if !r.claim(limiter) {
		return
	}
	out := outage{limiter: limiter, from: time.Now()}
	end(&out)
	startedAt := time.Now()
	next := r.tier.Limiters[limiter].Start()
	next.Await(r.tier.Host)
	out.to = time.Now()
	out.readyIn = out.to.Sub(startedAt)
	r.release(next, out)
}

// claim reserves a limiter for one step that changes its process, and reports whether it was free.
func (r *run) claim(limiter int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy[limiter] {
		return false
	}
	r.busy[limiter] = true
	return true
}

// release ends a claim, with the process of the limiter from now on and what was observed.
func (r *run) release(p *processharness.Process, out outage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.processes[out.limiter], r.busy[out.limiter] = p, false
	r.observed.outages = append(r.observed.outages, out)
}

// terminate has a process shut down, and kills it at the earliest time that the operators' terms allow.
func (r *run) terminate(p *processharness.Process, out *outage) {
	p.Signal(syscall.SIGTERM)
	overdue := time.AfterFunc(overdueAfter, func() { p.Signal(syscall.SIGUSR1) }) // its log shows what it waits for
	defer overdue.Stop()
	select {
	case out.exit = <-p.Ended:
		p.Ended <- out.exit // for whoever waits next
		out.took = time.Since(out.from)
	case <-time.After(killAfter - time.Since(out.from)):
		out.killed, out.took = true, time.Since(out.from)
		r.kill(p)
	}
	out.heldUp = r.heldUp(p, out.from, out.from.Add(out.took))
	if out.killed || out.exit != nil {
		out.log = p.LogTail(logLines)
	}
}

// kill kills a process and waits for its end: until then the system keeps its sockets, and the next one could
// not listen.
func (r *run) kill(p *processharness.Process) {
	p.Signal(syscall.SIGKILL)
	_ = p.Wait(r.tier.Host) // killed
}

// unlist takes a backend out of the list for a time, unless it is the last one.
func (r *run) unlist(step Step) {
	r.mu.Lock()
	listed := 0
	for _, unlisted := range r.unlisted {
		if !unlisted {
			listed++
		}
	}
	if r.unlisted[step.Target] || listed == 1 {
		r.mu.Unlock()
		return
	}
	r.unlisted[step.Target] = true
	r.mu.Unlock()

	from := time.Now()
	r.tier.SetListed(r.tier.Backends[step.Target], false)
	time.Sleep(step.For)
	to := time.Now()
	r.tier.SetListed(r.tier.Backends[step.Target], true)

	r.mu.Lock()
	defer r.mu.Unlock()
	r.unlisted[step.Target] = false
	r.observed.unlistings = append(r.observed.unlistings, unlisting{step.Target, from, to})
}

// result judges the run.
func (r *run) result() Result {
	o := &r.observed
	o.attempts, _ = r.tier.Attempts()
	o.arrivals = r.tier.Visits()
	o.keysTwice = r.tier.RepeatedRuns()
	o.startedAt, o.maxInFlight = r.startedAt, maxInFlight
	for _, f := range r.tier.Flights() {
		if isLimited(f.Attempt) {
			o.flights = append(o.flights, f)
		}
	}
	for _, p := range r.processes {
		o.idle = append(o.idle, resourcesOf(p))
	}
	result := Result{
		Requests: len(o.results), Restarts: len(o.outages), LongAttempts: o.longFlights(), Breaches: o.judge(),
	}
	for _, answered := range o.results {
		if !answered.Left.IsZero() {
			result.Left++
		}
		if answered.Status == http.StatusOK {
			result.Served++
		}
	}
	for _, out := range o.outages {
		if out.killed {
			result.Killed++
		}
		if out.hot {
			result.Hot++
		}
	}
	return result
}

// resourcesOf reads what a process holds from the system.
func resourcesOf(p *processharness.Process) resources {
	dir := fmt.Sprintf("/proc/%d", p.Cmd.Process.Pid)
	descriptors, _ := os.ReadDir(dir + "/fd") // none of a process that has ended
	status, _ := os.ReadFile(dir + "/status")
	held := resources{descriptors: len(descriptors)}
	for line := range bytes.Lines(status) {
		if fields := bytes.Fields(line); len(fields) > 1 && string(fields[0]) == "VmRSS:" {
			held.memoryKB, _ = strconv.Atoi(string(fields[1]))
		}
	}
	return held
}
