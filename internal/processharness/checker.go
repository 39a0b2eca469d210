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
	// excuseMargin is the time before and after an outage of a limiter in which its clients may miss a response.
	excuseMargin = 200 * time.Millisecond
	// maxUnitsMissing is how many units may be missing from the usage reports if no report says that usage is
	// missing: none, except for rounding.
	maxUnitsMissing = 0.5
)

// check checks what the fakes observed in a run, and returns the units of each request by its ID.
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

// checkResult counts a request by its result, and checks the result.
func (r *tierRun) checkResult(result Result) {
	counts := &r.result
	counts.Requests++
	switch result.Status {
	case 0:
		if !r.excused(result) {
			counts.Lost++
			r.breach("limiter %d, %.3f s: no response after %v: %s", result.Limiter, r.sinceStart(result.SentAt).Seconds(), result.Took, result.ConnError)
		}
	case http.StatusOK:
		counts.Served++
		if result.Body != fmt.Sprintf("%s %d", result.ID, result.Request.Body) {
			r.breach("limiter %d: request %s got a response with the unexpected body %q", result.Limiter, result.ID, result.Body)
		}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		counts.Rejected++
	default:
		counts.Failed++
	}
}

// excused reports whether the limiter of a request was unavailable while the request was in flight, or within
// excuseMargin of that.
func (r *tierRun) excused(result Result) bool {
	for _, outage := range r.outages[result.Limiter] {
		if outage.to.IsZero() {
			return true
		}
		sentBefore := result.SentAt.Before(outage.to.Add(excuseMargin))
		endedAfter := result.SentAt.Add(result.Took).After(outage.from.Add(-excuseMargin))
		if sentBefore && endedAfter {
			return true
		}
	}
	return false
}

// referenceBuckets are the reference buckets of a customer.
type referenceBuckets struct{ quota, ceiling simulation.Bucket }

// checkQuotas takes the units of each request that arrived at the backends from the reference buckets of its customer,
// in the order of arrival.
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
		isKnownCustomer := err == nil && number > 0 && number <= uint64(len(customers))
		requestUnits, isKnownRequest := units[a.CallID]
		if counted[a.CallID] || !isKnownCustomer || !isKnownRequest {
			continue
		}
		counted[a.CallID] = true
		r.checkAttempt(int(number), &customers[number-1], r.sinceStart(a.ArrivedAt), requestUnits)
	}
}

// checkAttempt takes the units of a request's first attempt from the buckets of its customer, who is given by number,
// counted from 1. The result counts units within and beyond the quota as means over all customers.
func (r *tierRun) checkAttempt(number int, b *referenceBuckets, at time.Duration, units float64) {
	customerCount := float64(max(len(r.customers), 1))
	if b.quota.Take(at, units) {
		r.result.WithinQuota += units / customerCount
	} else {
		r.result.BeyondQuota += units / customerCount
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

// checkLease checks the attempts under a lease: fencing tokens never decrease, and the attempts are a linearizable
// history of a lock.
func (r *tierRun) checkLease() {
	attempts := r.LeasedAttempts()
	var token uint64
	for i, a := range attempts {
		r.result.LeasedAttempts++
		switch {
		case a.Token < token:
			r.result.TokenDecreases++
			r.breach("attempt %d under a lease, %.3f s: fencing token %d after %d", i, r.sinceStart(a.ArrivedAt).Seconds(), a.Token, token)
		case a.Token > token:
			r.result.Holders++
		}
		token = max(token, a.Token)
	}
	if !IsFencedLockHistory(attempts) {
		r.breach("the attempts under the lease are not linearizable as a lock with fencing tokens")
	}
}

// countMessages adds the counts of the network to the result: datagrams, lease messages per second and their bytes per
// second.
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
		more, unreadable, err := usage.ReadReports(file)
		_ = file.Close() // nothing was written
		if err != nil || len(unreadable) > 0 {
			r.breach("%s: cannot read lines %v: %v", filepath.Base(path), unreadable, err)
		}
		reports = append(reports, more...)
	}
	return reports
}
