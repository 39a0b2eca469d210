package experiment

import (
	"fmt"
	"math"
	"strings"
)

// statistic returns one statistic of an outcome, by measure.
type statistic func(*Outcome) map[string]float64

func mean(o *Outcome) map[string]float64    { return o.Mean }
func worst(o *Outcome) map[string]float64   { return o.Worst }
func p99(o *Outcome) map[string]float64     { return o.P99 }
func minimum(o *Outcome) map[string]float64 { return o.Min }

// column is a column of the table; it shows a statistic of a measure.
type column struct {
	title     string
	statistic statistic
	measure   string
}

// quotaColumns are the columns of experiments to which no other list applies.
var quotaColumns = []column{
	{"asked", mean, "asked"},
	{"due", mean, "due"},
	{"inside", mean, "inside"},
	{"beyond", mean, "beyond"},
	{"b.p99", p99, "beyond_worst"},
	{"b.worst", worst, "beyond_worst"},
	{"room", mean, "refused_room"},
	{"under", worst, "under_worst"},
	{"msg/req", mean, "messages_per_req"},
	{"B/req", mean, "bytes_per_req"},
	{"us/req", mean, "cpu_us_per_req"},
	{"wait50", mean, "wait_50_ms"},
	{"wait99", mean, "wait_99_ms"},
}

// slotColumns are the columns of experiments with plans that limit attempts in flight.
var slotColumns = []column{
	{"reqs", mean, "reqs"},
	{"served", mean, "served"},
	{"over", mean, "slots_over"},
	{"o.worst", worst, "slots_over"},
	{"o.killed", worst, "slots_over_killed"},
	{"o.tries", mean, "slots_over_tries"},
	{"ref.free", mean, "slots_refused_free"},
	{"unusable", worst, "slots_unusable"},
	{"probed", mean, "slots_probed"},
	{"failed", mean, "failed"},
	{"msg/s", mean, "slots_messages_per_s"},
	{"msg/req", mean, "messages_per_req"},
	{"us/req", mean, "cpu_us_per_req"},
}

// usageColumns are the columns of experiments with usage reports.
var usageColumns = []column{
	{"holders", mean, "holders"},
	{"overlaps", worst, "overlaps"},
	{"periods", mean, "periods"},
	{"twice", worst, "use_twice"},
	{"again", mean, "use_again"},
	{"faults", mean, "use_faults"},
	{"inside", mean, "inside"},
	{"over", worst, "use_over"},
	{"under", mean, "use_under"},
	{"u.worst", worst, "use_under"},
	{"none ms", mean, "no_holder_ms"},
	{"msg/s", mean, "lease_messages_per_s"},
	{"served", mean, "served"},
	{"us/req", mean, "cpu_us_per_req"},
}

// zoneColumns are the columns of experiments with several zones.
var zoneColumns = []column{
	{"reqs", mean, "reqs"},
	{"served", mean, "served"},
	{"refused", mean, "refused"},
	{"failed", mean, "failed"},
	{"fetches", mean, "fetches"},
	{"near", mean, "near"},
	{"dead", mean, "dead"},
	{"d.worst", worst, "dead"},
	{"wait50", mean, "wait_50_ms"},
	{"wait99", mean, "wait_99_ms"},
	{"msg/req", mean, "messages_per_req"},
	{"us/req", mean, "cpu_us_per_req"},
}

// restartColumns are the columns of experiments with rolling restarts.
var restartColumns = []column{
	{"holders", mean, "holders"},
	{"overlaps", worst, "overlaps"},
	{"walked", mean, "walked"},
	{"w.least", minimum, "walked"},
	{"walking", worst, "walking"},
	{"none ms", mean, "no_holder_ms"},
	{"msg/s", mean, "lease_messages_per_s"},
	{"served", mean, "served"},
	{"refused", mean, "refused"},
	{"failed", mean, "failed"},
	{"us/req", mean, "cpu_us_per_req"},
}

// leaseColumns are the columns of experiments with attempts under a lease.
var leaseColumns = []column{
	{"holders", mean, "holders"},
	{"overlaps", worst, "overlaps"},
	{"falls", worst, "token_falls"},
	{"acts", mean, "acts"},
	{"none ms", mean, "no_holder_ms"},
	{"p99 ms", p99, "no_holder_worst_ms"},
	{"worst ms", worst, "no_holder_worst_ms"},
	{"msg/s", mean, "lease_messages_per_s"},
	{"B/s", mean, "lease_bytes_per_s"},
	{"busiest", mean, "lease_busiest_per_s"},
	{"served", mean, "served"},
	{"refused", mean, "refused"},
	{"failed", mean, "failed"},
	{"dead", mean, "dead"},
	{"dropped", mean, "dropped"},
	{"msg/req", mean, "messages_per_req"},
	{"us/req", mean, "cpu_us_per_req"},
}

// Table formats the outcomes as a table with a line for each case.
func Table(outcomes []Outcome) string {
	columns := selectColumns(outcomes)
	width := len("case")
	for _, o := range outcomes {
		width = max(width, len(o.Case))
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%-*s %5s", width, "case", "runs")
	for _, c := range columns {
		fmt.Fprintf(&b, " %8s", c.title)
	}
	b.WriteByte('\n')
	for _, o := range outcomes {
		fmt.Fprintf(&b, "%-*s %5d", width, o.Case, o.Runs)
		for _, c := range columns {
			b.WriteString(cell(c.statistic(&o)[c.measure]))
		}
		b.WriteByte('\n')
	}
	return b.String()
}

// cell formats a value with its leading space, without decimals from 1000 on.
func cell(value float64) string {
	if math.Abs(value) >= 1000 {
		return fmt.Sprintf(" %8.0f", value)
	}
	return fmt.Sprintf(" %8.2f", value)
}

// selectColumns selects the columns by the measures that the outcomes have.
func selectColumns(outcomes []Outcome) []column {
	if len(outcomes) == 0 {
		return quotaColumns
	}
	switch first := outcomes[0]; {
	case first.Worst["slots_probed"] > 0:
		return slotColumns
	case first.Worst["walked"] > 0:
		return restartColumns
	case first.Worst["periods"] > 0:
		return usageColumns
	}
	columns := quotaColumns
	for _, o := range outcomes {
		if o.Min["near"] < o.Min["fetches"] {
			columns = zoneColumns
		}
		if o.Worst["acts"] > 0 {
			columns = leaseColumns
		}
	}
	return columns
}
