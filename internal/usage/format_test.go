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

// Datagrams that 0.8.0 packed are read as what they were packed from, and packed to the same bytes.
func TestFormatOfEarlierRelease(t *testing.T) {
	var b strings.Builder
	var pulls []PageRequest
	for pattern := range 2 {
		var p PageRequest
		(&golden.Filler{Pattern: pattern}).Fill(&p)
		pulls = append(pulls, p)
		fmt.Fprintf(&b, "%x\n", p.Append(nil))
	}
	owes := PendingReport{Period: 305419896}
	fmt.Fprintf(&b, "%x\n", owes.Append(nil))
	entries := []Entry{
		{Key{"0123456789abcdef", 7}, 123456789}, {Key{"0123456789ABCDEF", 8}, 1}, {Key{"", 9}, 300}, {Key{"some customer", 250}, 1 << 40},
	}
	pages := pack(entries)
	page := Page{Period: 1, Incarnation: 2, FirstPeriod: 3, Page: 4, Pages: 5, Entries: pages[0]}
	fmt.Fprintf(&b, "%x\n", page.Append(nil))
	golden.Equal(t, "datagrams.txt", []byte(b.String()))

	var packed [][]byte
	for _, line := range strings.Split(strings.TrimSpace(string(golden.Read(t, "datagrams.txt"))), "\n") {
		data, err := hex.DecodeString(line)
		if err != nil {
			t.Fatal(err)
		}
		packed = append(packed, data)
	}
	for i, want := range pulls {
		if got, ok := ParsePageRequest(packed[i]); !ok || got != want {
			t.Errorf("read as %+v, want %+v", got, want)
		}
	}
	if got, ok := ParsePendingReport(packed[2]); !ok || got != owes {
		t.Errorf("read as %+v, want %+v", got, owes)
	}
	got, ok := ParsePage(packed[3])
	if !ok || !reflect.DeepEqual(got, page) || !reflect.DeepEqual(unpack(got.Entries), entries) {
		t.Errorf("read as %+v with %+v, want %+v", got, unpack(got.Entries), page)
	}
}

// A line of the file of use that 0.8.0 wrote is read as what it was written from, and written as
// then; so is what a program reads of lines that were joined.
func TestLineOfEarlierRelease(t *testing.T) {
	var line Report
	(&golden.Filler{}).Fill(&line)
	data, err := json.Marshal(line)
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "line.json", append(data, '\n'))
	lines, bad, err := ReadReports(bytes.NewReader(golden.Read(t, "line.json")))
	if err != nil || len(bad) > 0 || len(lines) != 1 || !reflect.DeepEqual(lines[0], line) {
		t.Errorf("read as %+v, %v, %v", lines, bad, err)
	}
}
