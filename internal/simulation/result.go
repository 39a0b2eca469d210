package simulation

import (
	"slices"
	"strings"

	"lemongate/internal/usage"
)

// Result is what came of a run. Units are those of a customer, on average, unless the name says Worst
// or 99 (over the customers). The names in files are kept: "refused" are rejections, "fetches" attempts,
// "reqs" requests.
type Result struct {
	Asked        float64 `json:"asked"`         // units of first tries
	Due          float64 `json:"due"`           // units that one limiter would forward that received all first tries
	Inside       float64 `json:"inside"`        // units forwarded within the quota
	Beyond       float64 `json:"beyond"`        // units forwarded beyond it
	BeyondWorst  float64 `json:"beyond_worst"`  // units, of the customer with most
	Beyond99     float64 `json:"beyond_99"`     // units
	RefusedUnits float64 `json:"refused_units"` // units of tries rejected without an attempt
	RefusedRoom  float64 `json:"refused_room"`  // of these, while the reference bucket was over half full
	UnderWorst   float64 `json:"under_worst"`   // units that a ceiling's reference bucket was below zero
	Under99      float64 `json:"under_99"`      // units

	Reqs      int `json:"reqs"`
	Served    int `json:"served"`
	Lost      int `json:"lost"`    // without a complete response, though the limiter lived; of processes alone
	Resent    int `json:"resent"`  // on a new connection, as a kept one had ended; of processes alone
	Doubled   int `json:"doubled"` // requests with an idempotency key that ran twice; of processes alone
	Refused   int `json:"refused"`
	Failed    int `json:"failed"`
	NoLimiter int `json:"no_limiter"` // tries that found every limiter of their set down
	Fetches   int `json:"fetches"`
	Near      int `json:"near"` // of these, those at a backend of the limiter's own zone
	Dead      int `json:"dead"` // of these, those at a backend that is down

	Messages       int     `json:"messages"`
	Bytes          int     `json:"bytes"`
	Dropped        int     `json:"dropped"` // datagrams beyond what a limiter receives
	MessagesPerReq float64 `json:"messages_per_req"`
	BytesPerReq    float64 `json:"bytes_per_req"`
	CPUPerReq      float64 `json:"cpu_us_per_req"` // of the state machines; the only figure that a seed does not fix

	Wait50 float64 `json:"wait_50_ms"` // from a request's arrival to its first attempt
	Wait99 float64 `json:"wait_99_ms"`

	// Of the first task that is done under a lease.
	Holders       int     `json:"holders"`      // times that another incarnation of a limiter acquired it
	Overlaps      int     `json:"overlaps"`     // observations of two holders
	NoHolder      float64 `json:"no_holder_ms"` // mean time without one, of the times after the first
	NoHolderWorst float64 `json:"no_holder_worst_ms"`
	Acts          int     `json:"acts"`        // attempts that reached backends under it
	TokenFalls    int     `json:"token_falls"` // of these, under a lower token than an earlier one
	Periods       int     `json:"periods"`     // usage reports that count
	UseFaults     int     `json:"use_faults"`  // faults of their summary
	UseTwice      int     `json:"use_twice"`   // periods in two reports
	UseAgain      int     `json:"use_again"`   // reports that count and were written again
	UseOver       float64 `json:"use_over"`    // units in the reports beyond what reached backends
	UseUnder      float64 `json:"use_under"`   // units that reached them and are neither reported nor recorded
	Walked        int     `json:"walked"`      // limiters that restarted under a restart slot and serve again
	Walking       int     `json:"walking"`     // those that wait for one or restart, at the end
	LeaseMessages float64 `json:"lease_messages_per_s"`
	LeaseBytes    float64 `json:"lease_bytes_per_s"`
	LeaseBusiest  float64 `json:"lease_busiest_per_s"` // messages to the limiter that receives most

	Breaches int      `json:"breaches"` // of rules
	Broken   []string `json:"broken,omitempty"`
}

// maxBreachesKept is how many breaches of rules a Result describes.
const maxBreachesKept = 5

// RecordBreach counts a breach of a rule, and keeps the description of the first ones.
func (r *Result) RecordBreach(description string) {
	r.Breaches++
	if len(r.Broken) < maxBreachesKept {
		r.Broken = append(r.Broken, description)
	}
}

// RecordUsage records the summary of all usage reports, and returns the units that they report. breach is
// called for each period that is in two reports which do not say so.
func (r *Result) RecordUsage(summary usage.Summary, breach func(format string, args ...any)) float64 {
	r.Periods = len(summary.Reports)
	r.UseFaults = len(summary.Faults)
	for _, fault := range summary.Faults {
		if strings.Contains(fault, "twice") {
			r.UseTwice++
			breach("%s", fault)
		}
	}
	reported := 0.0
	for _, u := range summary.Usage {
		reported += u.Units
	}
	return reported
}

// finish summarizes the run.
func (w *world) finish() Result {
	w.summarizeCustomers()
	slices.Sort(w.queueTimes)
	r := &w.result
	r.Wait50, r.Wait99 = quantile(w.queueTimes, 0.5), quantile(w.queueTimes, 0.99)
	requests := float64(max(r.Reqs, 1))
	r.MessagesPerReq = float64(r.Messages) / requests
	r.BytesPerReq = float64(r.Bytes) / requests
	r.CPUPerReq = float64(w.coreTime.Microseconds()) / requests
	w.summarizeLeases()
	return *r
}

// summarizeCustomers puts the means and worst figures of the customers into the result.
func (w *world) summarizeCustomers() {
	r := &w.result
	count := float64(max(len(w.customers), 1))
	var beyond, ceilingDebts []float64
	for _, c := range w.customers {
		t := c.tally
		r.Asked += t.requested / count
		r.Due += t.due / count
		r.Inside += t.within / count
		r.Beyond += t.beyond / count
		r.RefusedRoom += t.rejectedWithinQuota / count
		r.RefusedUnits += t.rejected / count
		beyond = append(beyond, t.beyond)
		ceilingDebts = append(ceilingDebts, t.ceilingDebt)
	}
	slices.Sort(beyond)
	slices.Sort(ceilingDebts)
	r.BeyondWorst, r.Beyond99 = quantile(beyond, 1), quantile(beyond, 0.99)
	r.UnderWorst, r.Under99 = quantile(ceilingDebts, 1), quantile(ceilingDebts, 0.99)
}

// quantile is a quantile of sorted values, 0 if there are none.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
