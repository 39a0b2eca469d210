package simulation

import (
	"slices"

	"lemongate/internal/usage"
)

// Result holds the measures of a run. Numbers of units are means over the customers, unless the name says Worst (their
// maximum) or 99 (their 99th percentile). A client may send a request again after a rejection; each time that it sends
// it is a try. The names in files differ: there "refused" are rejections, "fetches" attempts, "reqs" requests.
type Result struct {
	Requested           float64 `json:"asked"`         // units of first tries
	Due                 float64 `json:"due"`           // units that a single limiter that receives all first tries would forward
	WithinQuota         float64 `json:"inside"`        // units forwarded within the quota
	BeyondQuota         float64 `json:"beyond"`        // units forwarded beyond the quota
	BeyondWorst         float64 `json:"beyond_worst"`  // units, of the customer with the most
	Beyond99            float64 `json:"beyond_99"`     // units
	RejectedUnits       float64 `json:"refused_units"` // units of tries rejected before an attempt reached a backend
	RejectedWithinQuota float64 `json:"refused_room"`  // of these, units rejected while the reference bucket was over half full
	CeilingDebtWorst    float64 `json:"under_worst"`   // units by which a ceiling's reference bucket was below zero
	CeilingDebt99       float64 `json:"under_99"`      // units

	Requests       int `json:"reqs"`
	Served         int `json:"served"`
	Lost           int `json:"lost"`    // without a complete response, though the limiter was up; only on processes
	Resent         int `json:"resent"`  // sent again on a new connection, because a kept-alive one had ended; only on processes
	Doubled        int `json:"doubled"` // requests with an idempotency key that ran twice; only on processes
	Rejected       int `json:"refused"`
	Failed         int `json:"failed"`
	NoLimiter      int `json:"no_limiter"` // tries that found every limiter of their set down
	Attempts       int `json:"fetches"`
	AttemptsInZone int `json:"near"` // of these, those at a backend of the limiter's own zone
	AttemptsAtDown int `json:"dead"` // of these, those at a backend that is down

	Messages           int     `json:"messages"`
	Bytes              int     `json:"bytes"`
	Dropped            int     `json:"dropped"` // datagrams beyond what a limiter receives
	MessagesPerRequest float64 `json:"messages_per_req"`
	BytesPerRequest    float64 `json:"bytes_per_req"`
	CPUPerRequest      float64 `json:"cpu_us_per_req"` // µs in the state machines; the only measure that a seed does not determine

	QueueTime50 float64 `json:"wait_50_ms"` // ms from a request's arrival to its first attempt, median
	QueueTime99 float64 `json:"wait_99_ms"` // the same, 99th percentile

	// Measures of the first task that is done under a lease, of usage reports and of rolling restarts.
	Holders               int     `json:"holders"`      // times that another incarnation of a limiter acquired the lease
	Overlaps              int     `json:"overlaps"`     // checks that found two holders
	MeanTimeWithoutHolder float64 `json:"no_holder_ms"` // mean duration without a holder, except that before the first one
	MaxTimeWithoutHolder  float64 `json:"no_holder_worst_ms"`
	LeasedAttempts        int     `json:"acts"`        // attempts under the lease that reached backends
	TokenDecreases        int     `json:"token_falls"` // of these, those under a lower token than an earlier one
	Periods               int     `json:"periods"`     // usage reports that count
	UsageFaults           int     `json:"use_faults"`  // faults that the summary of the reports lists
	UsageDuplicates       int     `json:"use_twice"`   // periods in two reports without MayRepeat
	UsageRepeats          int     `json:"use_again"`   // reports that count and have MayRepeat: an earlier lease holder may have written one
	UsageOver             float64 `json:"use_over"`    // units in the reports beyond those that reached backends
	UsageUnder            float64 `json:"use_under"`   // units that reached backends and are neither reported nor recorded
	Restarted             int     `json:"walked"`      // limiters that restarted under a restart slot and serve again
	RestartsOpen          int     `json:"walking"`     // limiters that wait for a restart slot or restart, at the end
	LeaseMessages         float64 `json:"lease_messages_per_s"`
	LeaseBytes            float64 `json:"lease_bytes_per_s"`
	LeaseBusiest          float64 `json:"lease_busiest_per_s"` // messages to the limiter that receives most

	Slots SlotResult `json:"-"` // experiments list its measures together with those of Result

	Breaches int      `json:"breaches"` // of rules
	Broken   []string `json:"broken,omitempty"`
}

// maxBreachesKept is how many descriptions of breaches a Result keeps.
const maxBreachesKept = 5

// RecordBreach counts a breach of a rule and keeps the description if it is one of the first.
func (r *Result) RecordBreach(description string) {
	r.Breaches++
	if len(r.Broken) < maxBreachesKept {
		r.Broken = append(r.Broken, description)
	}
}

// RecordUsage records the summary of all usage reports and returns the units that they report. It calls breach for each
// period that is in two reports without MayRepeat.
func (r *Result) RecordUsage(summary usage.Summary, breach func(format string, args ...any)) float64 {
	r.Periods = len(summary.Reports)
	r.UsageFaults = len(summary.Faults)
	for _, fault := range summary.Duplicates {
		r.UsageDuplicates++
		breach("%s", fault)
	}
	reported := 0.0
	for _, u := range summary.Usage {
		reported += u.Units
	}
	return reported
}

// finish returns the result of the run.
func (w *world) finish() Result {
	w.summarizeCustomers()
	slices.Sort(w.queueTimes)
	r := &w.result
	r.QueueTime50, r.QueueTime99 = quantile(w.queueTimes, 0.5), quantile(w.queueTimes, 0.99)
	requests := float64(max(r.Requests, 1))
	r.MessagesPerRequest = float64(r.Messages) / requests
	r.BytesPerRequest = float64(r.Bytes) / requests
	r.CPUPerRequest = float64(w.coreTime.Microseconds()) / requests
	w.summarizeLeases()
	r.Slots = w.slots.result(&w.scenario, r.Messages)
	return *r
}

// summarizeCustomers stores the measures over the customers in the result.
func (w *world) summarizeCustomers() {
	r := &w.result
	count := float64(max(len(w.customers), 1))
	var beyond, ceilingDebts []float64
	for _, c := range w.customers {
		t := c.tally
		r.Requested += t.requested / count
		r.Due += t.due / count
		r.WithinQuota += t.forwardedWithinQuota / count
		r.BeyondQuota += t.forwardedBeyondQuota / count
		r.RejectedWithinQuota += t.rejectedWithinQuota / count
		r.RejectedUnits += t.rejected / count
		beyond = append(beyond, t.forwardedBeyondQuota)
		ceilingDebts = append(ceilingDebts, t.ceilingDebt)
	}
	slices.Sort(beyond)
	slices.Sort(ceilingDebts)
	r.BeyondWorst, r.Beyond99 = quantile(beyond, 1), quantile(beyond, 0.99)
	r.CeilingDebtWorst, r.CeilingDebt99 = quantile(ceilingDebts, 1), quantile(ceilingDebts, 0.99)
}

// quantile returns a quantile of sorted values, 0 if there are none.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
