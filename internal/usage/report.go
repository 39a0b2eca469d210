package usage

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
)

// maxLineBytes is the longest line of a file that is read.
const maxLineBytes = 64 << 20

// Report is the usage of a period: a line of a file. The tags that differ from the names of their fields
// are read by operators' scripts.
type Report struct {
	Period    uint32 `json:"period"`
	Previous  uint32 `json:"after"`           // the period before; 0 if unknown
	Token     uint64 `json:"token"`           // fencing token of the lease holder
	Limiter   int    `json:"limiter"`         // that wrote it
	At        string `json:"at"`              // by its wall clock
	MayRepeat bool   `json:"again,omitempty"` // see Collector.MayRepeat
	// Missing are the limiters whose usage is not in this report, as they did not reply in time or had
	// closed another period. It may be in a later one, see Since.
	Missing []int `json:"missing,omitempty"`
	// Restarted are the limiters that have started since the report before: what they used before that
	// and had not reported is lost.
	Restarted []int `json:"anew,omitempty"`
	// Since has, by limiter, the first period whose usage is in this report, unless it is Period or the one
	// after Previous.
	Since map[string]uint32 `json:"since,omitempty"`
	Usage []CustomerUsage   `json:"use"`
	// Unconfirmed is usage of earlier periods beside Usage, whose limiters do not know whether a report has
	// it. Merge decides whether it counts.
	Unconfirmed []UnconfirmedUsage `json:"unconfirmed,omitempty" since:"0.9.4"`
}

// UnconfirmedUsage is the usage of one limiter in the periods from FirstPeriod to Period, which it had sent
// whole to a lease holder for the report of Period. It did not learn from that lease holder whether the
// report has it.
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

// customerUsage converts entries. Plans are the names of plans by their numbers.
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

// ReadReports reads the lines of a file. Lines that are not reports, such as one that was cut short, are
// left out, and their numbers returned. The error is that of the reader, or of a line that is too long.
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
		return reports, badLines, fmt.Errorf("lines: %w", err)
	}
	return reports, badLines, nil
}
