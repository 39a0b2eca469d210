package usage

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"lemongate/internal/golden"
)

// Datagrams that 0.8.0 encoded decode to the same values, and encode to the same bytes.
func TestFormatOfEarlierRelease(t *testing.T) {
	var b strings.Builder
	var requests []PageRequest
	for pattern := range 2 {
		var p PageRequest
		(&golden.Filler{Pattern: pattern}).Fill(&p)
		requests = append(requests, p)
		fmt.Fprintf(&b, "%x\n", p.Append(nil))
	}
	pending := PendingReport{Period: 305419896}
	fmt.Fprintf(&b, "%x\n", pending.Append(nil))
	entries := []Entry{
		{Key{"0123456789abcdef", 7}, 123456789}, {Key{"0123456789ABCDEF", 8}, 1}, {Key{"", 9}, 300}, {Key{"some customer", 250}, 1 << 40},
	}
	pages := pack(entries)
	page := Page{Period: 1, Incarnation: 2, FirstPeriod: 3, Page: 4, Pages: 5, Entries: pages[0]}
	fmt.Fprintf(&b, "%x\n", page.Append(nil))
	golden.Equal(t, "datagrams.txt", []byte(b.String()))

	var datagrams [][]byte
	for _, line := range strings.Split(strings.TrimSpace(string(golden.Read(t, "datagrams.txt"))), "\n") {
		data, err := hex.DecodeString(line)
		if err != nil {
			t.Fatal(err)
		}
		datagrams = append(datagrams, data)
	}
	for i, want := range requests {
		if got, ok := ParsePageRequest(datagrams[i]); !ok || got != want {
			t.Errorf("request decoded as %+v, want %+v", got, want)
		}
	}
	if got, ok := ParsePendingReport(datagrams[2]); !ok || got != pending {
		t.Errorf("pending report decoded as %+v, want %+v", got, pending)
	}
	got, ok := ParsePage(datagrams[3])
	if !ok || !reflect.DeepEqual(got, page) || !reflect.DeepEqual(unpack(got.Entries), entries) {
		t.Errorf("page decoded as %+v with entries %+v, want %+v", got, unpack(got.Entries), page)
	}
}

// A line that 0.8.0 wrote to a usage file decodes to the same report, and encodes to the same line.
func TestLineOfEarlierRelease(t *testing.T) {
	var report Report
	(&golden.Filler{}).Fill(&report)
	data, err := json.Marshal(report)
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "line.json", append(data, '\n'))
	reports, badLines, err := ReadReports(bytes.NewReader(golden.Read(t, "line.json")))
	if err != nil || len(badLines) > 0 || len(reports) != 1 || !reflect.DeepEqual(reports[0], report) {
		t.Errorf("line decoded as %+v, bad lines %v, error %v; want the encoded report only", reports, badLines, err)
	}
}
