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
	// excuseMargin is how long before and after a limiter is away its clients may miss a response.
	excuseMargin = 200 * time.Millisecond
	// maxUnitsMissing is how many units may be missing in the usage reports without a report that says so:
	// none, but for rounding.
	maxUnitsMissing = 0.5
)

// judge judges a run by what the stand-ins observed, and returns the units of each request by its ID.
func (r *tierRun) judge(results []Result) (units map[string]float64) {
	units = map[string]float64{}
	for _, result := range results {
		units[result.ID] = float64(max(result.Units, 1))
		r.judgeResult(result)
	}
	r.result.Doubled = r.RepeatedRuns()
	if r.result.Doubled > 0 {
		r.breach("%d requests with an idempotency key ran twice", r.result.Doubled)
	}
	r.judgeQuotas(units)
	r.judgeLease()
	r.countMessages()
	return units
}

// breach records a breach of a rule.
func (r *tierRun) breach(format string, args ...any) {
	r.result.RecordBreach(fmt.Sprintf(format, args...))
}

// sinceStart is how long after the start of the run a time is.
func (r *tierRun) sinceStart(at time.Time) time.Duration { return at.Sub(r.startedAt) }

// judgeResult counts what came of a request.
func (r *tierRun) judgeResult(q Result) {
	counts := &r.result
	counts.Requests++
	switch q.Status {
	case 0:
		if !r.excused(q) {
			counts.Lost++
			r.breach("limiter %d, %.3f s: no response after %v: %s", q.Limiter, r.sinceStart(q.At).Seconds(), q.Took, q.Fault)
		}
	case http.StatusOK:
		counts.Served++
		if q.Body != fmt.Sprintf("%s %d", q.ID, q.Request.Body) {
			r.breach("limiter %d: request %s got the response %q", q.Limiter, q.ID, q.Body)
		}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		counts.Rejected++
	default:
		counts.Failed++
	}
}

// excused reports whether the limiter of a request was away meanwhile.
func (r *tierRun) excused(q Result) bool {
	for _, away := range r.away[q.Limiter] {
		if away.to.IsZero() {
			return true
		}
		sentBefore := q.At.Before(away.to.Add(excuseMargin))
		endedAfter := q.At.Add(q.Took).After(away.from.Add(-excuseMargin))
		if sentBefore && endedAfter {
			return true
		}
	}
	return false
}

// buckets are the reference buckets of a customer.
type buckets struct{ quota, ceiling simulation.Bucket }

// judgeQuotas plays the reference buckets by what arrived at the backends, in its order.
func (r *tierRun) judgeQuotas(units map[string]float64) {
	customers := make([]buckets, len(r.customers))
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
		r.judgeAttempt(int(number), &customers[number-1], r.sinceStart(a.At), cost)
	}
}

// judgeAttempt has the first attempt of a request consume its units from the buckets of its customer.
func (r *tierRun) judgeAttempt(number int, b *buckets, at time.Duration, units float64) {
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
		r.breach("%.3f s: the ceiling's bucket of customer %d is %.1f below zero", at.Seconds(), number, debt)
	}
}

// judgeLease judges the attempts under a lease: fencing tokens grow.
func (r *tierRun) judgeLease() {
	acts := r.LeasedAttempts()
	var token uint64
	for i, a := range acts {
		r.result.LeasedAttempts++
		switch {
		case a.Token < token:
			r.result.TokenDecreases++
			r.breach("attempt %d under a lease, %.3f s: token %d after %d", i, r.sinceStart(a.At).Seconds(), a.Token, token)
		case a.Token > token:
			r.result.Holders++
		}
		token = max(token, a.Token)
	}
	if !IsFencedLockHistory(acts) {
		r.breach("the attempts under the lease are no history of a lock with fencing tokens")
	}
}

// countMessages puts the figures of the network into the result.
func (r *tierRun) countMessages() {
	perLimiter, bytes := r.Network.Leases()
	for _, n := range perLimiter {
		rate := float64(n) / r.scenario.Seconds
		r.result.LeaseMessages += rate
		r.result.LeaseBusiest = max(r.result.LeaseBusiest, rate)
	}
	r.result.LeaseBytes = float64(bytes) / r.scenario.Seconds
	r.result.Messages = r.Network.Datagrams()
	r.result.MessagesPerRequest = float64(r.result.Messages) / float64(max(r.result.Requests, 1))
}

// judgeUsage judges the usage reports by the units that arrived at backends.
func (r *tierRun) judgeUsage(dir string, units map[string]float64) {
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

// readReports reads the usage reports of all files of a directory.
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
		_ = file.Close() // it was only read
		if err != nil || len(torn) > 0 {
			r.breach("%s: lines %v cannot be read, %v", filepath.Base(path), torn, err)
		}
		reports = append(reports, more...)
	}
	return reports
}
