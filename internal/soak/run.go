package soak

import (
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
	// requestsPerSecond is the request rate of a run, over all limiters.
	requestsPerSecond = 150
	// extraIdleConns is how many idle connections every third run opens to each limiter.
	extraIdleConns = 400
	// socketLimit is the limit of sockets of each limiter, and memoryMB that of its memory in MB; in every second run it is
	// lowMemoryMB, which has room for the two processes of a hot restart.
	socketLimit = 1024
	memoryMB    = 192
	lowMemoryMB = 64
	// normalDelay is how long a backend takes to respond, and slowDelay during SlowBackend.
	normalDelay = 15 * time.Millisecond
	slowDelay   = 900 * time.Millisecond
	// customers is the number of customers without a limit of attempts in flight.
	customers = 40
	// limitedCustomers is the number of further customers, on a plan with a limit of maxInFlight attempts in flight. One
	// in limitedEvery requests is theirs. Each of them sends three in four of its requests to the same limiter, which
	// has to borrow slots for them.
	limitedCustomers, limitedEvery = 4, 6
	maxInFlight                    = 3
	// longServiceTime is how long backends take for every second keyed request of the limited customers: longer than a
	// slot is lent.
	longServiceTime = 2300 * time.Millisecond
	// Of clientModeEvery requests, the client of one disconnects before its response, that of another closes the sending
	// side after the request, and that of a third sends two requests together. A disconnecting client waits for less than
	// maxDisconnectDelay, or limitedDelayFactor times that on a plan with a limit of attempts in flight.
	clientModeEvery    = 25
	maxDisconnectDelay = 40 * time.Millisecond
	limitedDelayFactor = 30
	// faultLoss and normalLoss are the fractions of lost datagrams between limiters, during LoseDatagrams and otherwise.
	faultLoss  = 0.4
	normalLoss = 0.02
	// operatorFile is the operators' file of each limiter. A successor counts as failed after silence_ms without a
	// heartbeat: twice maxSuspend.
	operatorFile = `{"takeover":{"on":true,"silence_ms":300}}`
	// overdueAfter is the time after SIGTERM at which SIGUSR1 makes a process that is still running log its counters.
	overdueAfter = killAfter - 150*time.Millisecond
	// logLines is how many of its last log lines are shown for a process that did not exit as it should.
	logLines = 12
	// settleTime is the time from the last result to the reading of the limiters' resources.
	settleTime = 1500 * time.Millisecond
)

// run is one run of the soak.
type run struct {
	tier      *processharness.Tier
	startedAt time.Time
	steps     sync.WaitGroup

	mu        sync.Mutex
	busy      [limiters]bool // by limiter: a step is changing its process, see claim
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

// Result is the result of a run.
type Result struct {
	Requests     int
	Served       int
	Restarts     int // restarts of all kinds, including crashes and hot restarts
	HotRestarts  int // hot restarts, including those that failed as intended
	Killed       int // processes that SIGKILL ended after SIGTERM
	Disconnected int // clients that disconnected before their response
	// LongAttempts counts the attempts on a plan with a limit of attempts in flight that took longer than a slot is lent.
	LongAttempts int
	Breaches     []string // breaches of rules, one line each
}

// Run runs the schedule of a seed, with limiters that are started with the command program.
func Run(host processharness.Host, seed uint64, duration time.Duration, program ...string) Result {
	r := newRun(host, seed, program)
	load := r.startLoad()
	if seed%3 == 0 { // every third run has many idle connections
		for n := range limiters {
			if err := load.OpenIdle(n, extraIdleConns); err != nil {
				host.Errorf("cannot open idle connections to a limiter: %v", err)
			}
		}
	}
	misbehaving := r.startMisbehaving(seed)
	for _, step := range Schedule(seed, duration) {
		time.Sleep(time.Until(r.startedAt.Add(step.At)))
		r.steps.Go(func() { r.perform(step) })
	}
	r.steps.Wait()
	time.Sleep(time.Until(r.startedAt.Add(duration)))
	r.observed.results = load.End()
	misbehaving.End()
	time.Sleep(settleTime)
	return r.result()
}

// newRun returns a run whose limiters have been started and accept clients.
func newRun(host processharness.Host, seed uint64, program []string) *run {
	tier := processharness.New(host, limiters, backends, append(slices.Clone(program), "--operator", writeOperatorFile(host))...)
	tier.Sockets = socketLimit
	tier.MemoryMB = memoryMB
	if seed%2 == 0 {
		tier.MemoryMB = lowMemoryMB
	}
	tier.ReportUtilization = true
	tier.Plans = []processharness.Plan{{Name: "free"}, {Name: "small", Rate: 5, Burst: 24, CeilingRate: 10, CeilingBurst: 48}, {Name: limitedPlan, MaxConcurrent: maxInFlight}}
	tier.MinServiceTime = minServiceTime
	for _, b := range tier.Backends {
		b.SetDelay(normalDelay)
	}
	tier.Network.SetQuality(normalLoss, 0, time.Millisecond)
	r := &run{tier: tier}
	for i, l := range tier.Limiters {
		r.processes[i] = l.Start()
	}
	for _, p := range r.processes {
		p.AwaitHealthy(host)
	}
	r.observed.fresh = resourcesOf(r.processes[0])
	r.startedAt = time.Now()
	return r
}

// misbehaviors are the ways in which a few clients misbehave towards one limiter, one way in each run.
var misbehaviors = []struct {
	kind    processharness.Misbehavior
	clients int
}{
	{processharness.FloodMalformed, 4},
	{processharness.StopInBody, 60},
	{processharness.FloodCustomers, 2},
	{processharness.FloodFields, 4},
	{processharness.WriteSlowly, 60},
	{processharness.StopInHead, 60},
}

// startMisbehaving starts the misbehaving clients of a run.
func (r *run) startMisbehaving(seed uint64) *processharness.Misbehaving {
	m := misbehaviors[seed%uint64(len(misbehaviors))]
	return r.tier.StartMisbehaving(int(seed)%limiters, m.clients, m.kind)
}

// writeOperatorFile writes an operators' file that enables hot restarts, and returns the path.
func writeOperatorFile(host processharness.Host) string {
	path := filepath.Join(host.TempDir(), "operator.json")
	if err := os.WriteFile(path, []byte(operatorFile), 0o600); err != nil {
		host.Fatal(err)
	}
	return path
}

// startLoad starts sending requests of all classes and plans to all limiters.
func (r *run) startLoad() *processharness.Load {
	classes := []string{processharness.ClassIdempotent, processharness.ClassKeyed, processharness.ClassNonIdempotent}
	load := r.tier.StartLoad(requestsPerSecond, func(n int) processharness.Request {
		request := processharness.Request{
			Limiter: n % limiters, Class: classes[n/limiters%len(classes)], Plan: []string{"free", "small"}[n/2%2],
			Customer: uint64(1 + n%customers), SetSize: limiters,
		}
		if n%limitedEvery == 0 {
			limitRequest(n/limitedEvery, &request, classes)
		}
		chooseClientMode(n, &request)
		if request.Class == processharness.ClassKeyed {
			request.Key, request.Body = fmt.Sprintf("%032x", n), n%3*1000
		}
		return request
	})
	load.EnableResend()
	return load
}

// chooseClientMode sets how the client of the request with number n uses its connection.
func chooseClientMode(n int, request *processharness.Request) {
	const steps = 8 // number of different times for which a disconnecting client waits
	switch n % clientModeEvery {
	case 1:
		request.Mode = processharness.Disconnecting
		request.DisconnectAfter = maxDisconnectDelay * time.Duration(n/clientModeEvery%steps) / steps
		if request.Plan == limitedPlan {
			request.DisconnectAfter *= limitedDelayFactor
		}
	case 2:
		request.Mode = processharness.HalfClosing
	case 3:
		request.Mode = processharness.Pipelining
	}
}

// limitedPlan is the plan of the customers with a limit of attempts in flight.
const limitedPlan = "slots"

// limitRequest turns a request into one of a customer with a limit of attempts in flight. n is the number of
// the request among the requests of these customers.
func limitRequest(n int, request *processharness.Request, classes []string) {
	index, round := n%limitedCustomers, n/limitedCustomers
	request.Plan, request.Customer = limitedPlan, uint64(customers+1+index)
	request.Class = classes[round%len(classes)]
	request.Limiter = index % limiters
	if round%4 == 0 {
		request.Limiter = (index + 1 + round/4%(limiters-1)) % limiters
	}
}

// isLimited reports whether an attempt is of a customer with a limit of attempts in flight.
func isLimited(a processharness.Attempt) bool {
	number, err := strconv.ParseUint(a.Customer, 16, 64)
	return err == nil && number > customers
}

// minServiceTime returns the least time that backends take for an attempt: longServiceTime for every second keyed
// request of the customers with a limit of attempts in flight, 0 for any other.
func minServiceTime(a processharness.Attempt) time.Duration {
	if !a.IsKeyed || !isLimited(a) {
		return 0
	}
	number, err := strconv.ParseUint(a.CallID[len(a.CallID)/2:], 16, 64) // of the request
	if err != nil || number/limitedEvery/limitedCustomers/3%2 > 0 {
		return 0
	}
	return longServiceTime
}

// perform carries out a step, and returns when the step has ended.
func (r *run) perform(step Step) {
	switch step.Action {
	case Reload:
		r.process(step.Target).Signal(syscall.SIGHUP)
	case LogCounters:
		r.process(step.Target).Signal(syscall.SIGUSR1)
	case Suspend:
		r.suspend(r.process(step.Target), step.For) // even if the process is shutting down
	case Terminate:
		r.replace(step.Target, func(out *outage) { r.terminate(r.process(step.Target), out) })
	case Crash:
		r.replace(step.Target, func(out *outage) {
			out.isCrash = true
			r.kill(r.process(step.Target))
			time.Sleep(step.For)
		})
	case HotRestart:
		r.hotRestart(step)
	case KillSuccessorLater:
		r.hotRestart(step)
		r.replace(step.Target, func(out *outage) {
			out.isCrash = true
			r.kill(r.process(step.Target))
		})
	case KillSuccessorEarly, KillSuccessorInProbation:
		r.failSuccessor(step)
	case Unlist:
		r.unlist(step)
	case SlowBackend:
		r.tier.Backends[step.Target].SetDelay(slowDelay)
		time.Sleep(step.For)
		r.tier.Backends[step.Target].SetDelay(normalDelay)
	case LoseDatagrams:
		r.tier.Network.SetQuality(faultLoss, 0, time.Millisecond)
		time.Sleep(step.For)
		r.tier.Network.SetQuality(normalLoss, 0, time.Millisecond)
	}
}

// suspend stops a process for a time with SIGSTOP.
func (r *run) suspend(p *processharness.Process, duration time.Duration) {
	from := time.Now()
	r.mu.Lock()
	r.suspensions = append(r.suspensions, suspension{p, from, from.Add(duration)})
	r.mu.Unlock()
	p.Signal(syscall.SIGSTOP)
	time.Sleep(duration)
	p.Signal(syscall.SIGCONT)
}

// suspendedTime returns for how long a process was suspended between two times. Overlapping suspensions all count in
// full.
func (r *run) suspendedTime(p *processharness.Process, from, to time.Time) (sum time.Duration) {
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

// replace ends the process of a limiter and starts the next one, unless another step is changing its process.
func (r *run) replace(limiter int, end func(*outage)) {
	if !r.claim(limiter) {
		return
	}
	out := outage{limiter: limiter, from: time.Now()}
	end(&out)
	startedAt := time.Now()
	next := r.tier.Limiters[limiter].Start()
	next.AwaitHealthy(r.tier.Host)
	out.to = time.Now()
	out.readyIn = out.to.Sub(startedAt)
	r.release(next, out)
}

// claim reserves a limiter for one step that changes its process. It returns false if another step has reserved it.
func (r *run) claim(limiter int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy[limiter] {
		return false
	}
	r.busy[limiter] = true
	return true
}

// release ends a claim. It stores the process that the limiter has from now on, and the observed outage.
func (r *run) release(p *processharness.Process, out outage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.processes[out.limiter], r.busy[out.limiter] = p, false
	r.observed.outages = append(r.observed.outages, out)
}

// terminate sends SIGTERM to a process, and kills it after killAfter, the earliest time that the operating requirements
// allow.
func (r *run) terminate(p *processharness.Process, out *outage) {
	p.Signal(syscall.SIGTERM)
	overdue := time.AfterFunc(overdueAfter, func() { p.Signal(syscall.SIGUSR1) }) // the counters show what the process waits for
	defer overdue.Stop()
	select {
	case out.exitErr = <-p.Ended:
		p.Ended <- out.exitErr // for the next receiver
		out.took = time.Since(out.from)
	case <-time.After(killAfter - time.Since(out.from)):
		out.killed, out.took = true, time.Since(out.from)
		r.kill(p)
	}
	out.suspended = r.suspendedTime(p, out.from, out.from.Add(out.took))
	if out.killed || out.exitErr != nil {
		out.log = p.LogTail(logLines)
	}
}

// kill kills a process and waits for its end: until then the operating system keeps its sockets open, and the next
// process could not listen at their addresses.
func (r *run) kill(p *processharness.Process) {
	p.Signal(syscall.SIGKILL)
	_ = p.Wait(r.tier.Host) // the error reports the kill signal
}

// unlist removes a backend from the endpoint list for a time, unless it is the only one listed or is unlisted already.
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

// result checks the observations of the run, and returns its result.
func (r *run) result() Result {
	o := &r.observed
	o.attempts, _ = r.tier.Attempts()
	o.arrivals = r.tier.BackendAttempts()
	o.repeatedKeys = r.tier.RepeatedExecutions()
	o.startedAt, o.maxInFlight, o.memoryMB = r.startedAt, maxInFlight, r.tier.MemoryMB
	for _, span := range r.tier.AttemptSpans() {
		if isLimited(span.Attempt) {
			o.spans = append(o.spans, span)
		}
	}
	for _, p := range r.processes {
		o.idle = append(o.idle, resourcesOf(p))
	}
	result := Result{
		Requests: len(o.results), Restarts: len(o.outages), LongAttempts: o.countLongAttempts(), Breaches: o.check(),
	}
	for _, requestResult := range o.results {
		if !requestResult.DisconnectedAt.IsZero() {
			result.Disconnected++
		}
		if requestResult.Status == http.StatusOK {
			result.Served++
		}
	}
	for _, out := range o.outages {
		if out.killed {
			result.Killed++
		}
		if out.isHotRestart {
			result.HotRestarts++
		}
	}
	return result
}

// resourcesOf returns the resources that a process uses, as reported by the operating system.
func resourcesOf(p *processharness.Process) resources {
	descriptors, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Cmd.Process.Pid)) // none for a process that has ended
	present, peak := p.MemoryKB()
	return resources{descriptors: len(descriptors), memoryKB: present, peakMemoryKB: peak}
}
