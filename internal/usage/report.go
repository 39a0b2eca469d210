package usage

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
)

// maxLineBytes is the maximum length of a line of a usage file; it bounds the buffer of ReadReports.
const maxLineBytes = 64 << 20

// Report is the usage of a period: one line of a usage file. Operators' scripts read the JSON keys, which are kept
// even where they differ from the names of the fields.
type Report struct {
	Period    uint32 `json:"period"`
	Previous  uint32 `json:"after"`           // the previous period; 0 if unknown
	Token     uint64 `json:"token"`           // fencing token of the lease holder
	Limiter   int    `json:"limiter"`         // limiter that wrote the report
	At        string `json:"at"`              // time of the report by that limiter's wall clock: RFC 3339, UTC
	MayRepeat bool   `json:"again,omitempty"` // see Collector.MayRepeat
	// Missing are the limiters whose usage is not in this report, because they did not reply in time or had
	// closed another period. A later report may include it, see Since.
	Missing []int `json:"missing,omitempty"`
	// Restarted are the limiters that have restarted since the previous report: the earlier usage that they
	// had not reported is lost.
	Restarted []int `json:"anew,omitempty"`
	// Since has, by limiter, the first period whose usage is in this report, unless it is Period or the period
	// after Previous.
	Since map[string]uint32 `json:"since,omitempty"`
	Usage []CustomerUsage   `json:"use"`
	// Unconfirmed is usage of earlier periods, in addition to Usage, for which the limiters do not know whether
	// a report includes it. Merge decides whether it counts.
	Unconfirmed []UnconfirmedUsage `json:"unconfirmed,omitempty" since:"0.9.4"`
}

// UnconfirmedUsage is the usage of one limiter in the periods from FirstPeriod to Period. The limiter sent all
// of it to a lease holder for the report of Period, but did not learn from that lease holder whether the
// report includes it.
type UnconfirmedUsage struct {
	Limiter     int             `json:"limiter"`
	FirstPeriod uint32          `json:"since"` // 0 for all since the limiter's start
	Period      uint32          `json:"period"`
	Usage       []CustomerUsage `json:"use"`
}

// CustomerUsage is the usage of a customer on a plan.
type CustomerUsage struct {
	Customer string  `json:"customer"`
	Plan     string  `json:"plan"`
	Units    float64 `json:"units"`
}

// customerUsage converts entries to the form of a report. plans are the names of the plans by number; the name
// of any other plan is empty.
func customerUsage(entries []Entry, plans []string) []CustomerUsage {
	list := make([]CustomerUsage, 0, len(entries))
	for _, e := range entries {
		u := CustomerUsage{Customer: e.Customer, Units: float64(e.Units) / UnitParts}
		if int(e.Plan) < len(plans) {
			u.Plan = plans[e.Plan]
		}
		list = append(list, u)
	}
	return list
}

// ReadReports reads the lines of a usage file. It skips lines that are not reports, such as a truncated one,
// and returns their numbers. The error is that of the reader, or of a line that is too long.
func ReadReports(r io.Reader) (reports []Report, badLines []int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for number := 1; scanner.Scan(); number++ {
		line := scanner.Bytes()
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		var report Report
		if json.Unmarshal(line, &report) != nil || report.Period == 0 || report.Token == 0 {
			badLines = append(badLines, number)
			continue
		}
		reports = append(reports, report)
	}
	if err := scanner.Err(); err != nil {
		return reports, badLines, fmt.Errorf("read reports: %w", err)
	}
	return reports, badLines, nil
}
