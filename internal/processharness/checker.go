package processharness

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"lemongate/internal/simulation"
	"lemongate/internal/usage"
)

const (
	// excuseMargin is the time before and after a limiter is unavailable in which its clients may miss a response.
	excuseMargin = 200 * time.Millisecond
	// maxUnitsMissing is how many units may be missing in the usage reports without a report that says so:
	// none, except for rounding.
	maxUnitsMissing = 0.5
)

// check checks what the fakes observed in a run against the rules, and returns the units of each request by its ID.
func (r *tierRun) check(results []Result) (units map[string]float64) {
	units = map[string]float64{}
	for _, result := range results {
		units[result.ID] = float64(max(result.Units, 1))
		r.checkResult(result)
	}
	r.result.Doubled = r.RepeatedExecutions()
	if r.result.Doubled > 0 {
		r.breach("%d requests with an idempotency key were executed twice", r.result.Doubled)
	}
	r.checkQuotas(units)
	r.checkLease()
	r.countMessages()
	return units
}

// breach records a breach of a rule.
func (r *tierRun) breach(format string, args ...any) {
	r.result.RecordBreach(fmt.Sprintf(format, args...))
}

// sinceStart returns the time from the start of the run to a given time.
func (r *tierRun) sinceStart(at time.Time) time.Duration { return at.Sub(r.startedAt) }

// checkResult counts the result of a request, and checks it.
func (r *tierRun) checkResult(q Result) {
	counts := &r.result
	counts.Requests++
	switch q.Status {
	case 0:
		if !r.excused(q) {
			counts.Lost++
			r.breach("limiter %d, %.3f s: no response after %v: %s", q.Limiter, r.sinceStart(q.At).Seconds(), q.Took, q.ConnError)
		}
	case http.StatusOK:
		counts.Served++
		if q.Body != fmt.Sprintf("%s %d", q.ID, q.Request.Body) {
			r.breach("limiter %d: request %s got a response with the unexpected body %q", q.Limiter, q.ID, q.Body)
		}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		counts.Rejected++
	default:
		counts.Failed++
	}
}

// excused reports whether the limiter of a request was unavailable while the request was in flight, or within
// excuseMargin of that.
func (r *tierRun) excused(q Result) bool {
	for _, outage := range r.outages[q.Limiter] {
		if outage.to.IsZero() {
			return true
		}
		sentBefore := q.At.Before(outage.to.Add(excuseMargin))
		endedAfter := q.At.Add(q.Took).After(outage.from.Add(-excuseMargin))
		if sentBefore && endedAfter {
			return true
		}
	}
	return false
}

// referenceBuckets are the reference buckets of a customer.
type referenceBuckets struct{ quota, ceiling simulation.Bucket }

// checkQuotas applies the requests that arrived at the backends to the reference buckets, in the order of arrival.
func (r *tierRun) checkQuotas(units map[string]float64) {
	customers := make([]referenceBuckets, len(r.customers))
	for i, c := range r.customers {
		plan := r.scenario.Plans[c.plan]
		customers[i].quota = simulation.NewBucket(plan.Rate, plan.Burst, 0)
		customers[i].ceiling = simulation.NewBucket(plan.CeilingRate, plan.CeilingBurst, 0)
	}
	_, attempts := r.Attempts()
	r.result.Attempts = len(attempts)
	counted := map[string]bool{}
	for _, a := range attempts {
		number, err := strconv.ParseUint(a.Customer, 16, 64)
		known := err == nil && number > 0 && number <= uint64(len(customers))
		cost, isOwn := units[a.CallID]
		if counted[a.CallID] || !known || !isOwn {
			continue
		}
		counted[a.CallID] = true
		r.checkAttempt(int(number), &customers[number-1], r.sinceStart(a.At), cost)
	}
}

// checkAttempt takes the units of a request's first attempt from the buckets of its customer.
func (r *tierRun) checkAttempt(number int, b *referenceBuckets, at time.Duration, units float64) {
	count := float64(max(len(r.customers), 1))
	if b.quota.Take(at, units) {
		r.result.WithinQuota += units / count
	} else {
		r.result.BeyondQuota += units / count
	}
	plan := r.scenario.Plans[r.customers[number-1].plan]
	if plan.CeilingRate <= 0 {
		return
	}
	debt := -b.ceiling.Consume(at, units)
	if debt <= r.result.CeilingDebtWorst {
		return
	}
	r.result.CeilingDebtWorst = debt
	if debt > plan.Tolerance {
		r.breach("%.3f s: the ceiling bucket of customer %d is %.1f units below zero", at.Seconds(), number, debt)
	}
}

// checkLease checks the attempts under a lease: fencing tokens never decrease.
func (r *tierRun) checkLease() {
	attempts := r.LeasedAttempts()
	var token uint64
	for i, a := range attempts {
		r.result.LeasedAttempts++
		switch {
		case a.Token < token:
			r.result.TokenDecreases++
			r.breach("attempt %d under a lease, %.3f s: fencing token %d after %d", i, r.sinceStart(a.At).Seconds(), a.Token, token)
		case a.Token > token:
			r.result.Holders++
		}
		token = max(token, a.Token)
	}
	if !IsFencedLockHistory(attempts) {
		r.breach("the attempts under the lease are not linearizable as a lock with fencing tokens")
	}
}

// countMessages adds the message counts of the network to the result.
func (r *tierRun) countMessages() {
	perLimiter, bytes := r.Network.LeaseTraffic()
	for _, n := range perLimiter {
		rate := float64(n) / r.scenario.Seconds
		r.result.LeaseMessages += rate
		r.result.LeaseBusiest = max(r.result.LeaseBusiest, rate)
	}
	r.result.LeaseBytes = float64(bytes) / r.scenario.Seconds
	r.result.Messages = r.Network.Datagrams()
	r.result.MessagesPerRequest = float64(r.result.Messages) / float64(max(r.result.Requests, 1))
}

// checkUsage compares the usage reports with the units that arrived at the backends.
func (r *tierRun) checkUsage(dir string, units map[string]float64) {
	reported := r.result.RecordUsage(usage.Merge(r.readReports(dir)), r.breach)
	arrived := 0.0
	attemptsByID, _ := r.Attempts()
	for id := range attemptsByID {
		arrived += units[id]
	}
	r.result.UsageOver = max(reported-arrived, 0)
	r.result.UsageUnder = max(arrived-reported, 0)
	if r.result.UsageUnder > maxUnitsMissing && r.result.UsageFaults == 0 {
		r.breach("%.0f of %.0f units are in no report, and no report says so", r.result.UsageUnder, arrived)
	}
}

// readReports reads the usage reports in all files of a directory.
func (r *tierRun) readReports(dir string) []usage.Report {
	paths, err := filepath.Glob(filepath.Join(dir, "*.jsonl"))
	if err != nil {
		r.Host.Fatal(err)
	}
	var reports []usage.Report
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			r.Host.Fatal(err)
		}
		more, torn, err := usage.ReadReports(file)
		_ = file.Close() // nothing was written
		if err != nil || len(torn) > 0 {
			r.breach("%s: cannot read lines %v: %v", filepath.Base(path), torn, err)
		}
		reports = append(reports, more...)
	}
	return reports
}
