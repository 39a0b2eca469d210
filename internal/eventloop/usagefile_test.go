package eventloop

import (
	"errors"
	"os"
	"testing"
)

// Reports under a token are appended to its file, unless the lease has expired by the time the file is open.
func TestAppendReport(t *testing.T) {
	dir := t.TempDir()
	path := usageFile(dir, 12)
	valid, expired := func() bool { return false }, func() bool { return true }
	for _, report := range []string{"first\n", "second\n"} {
		if err := appendReport(path, []byte(report), valid); err != nil {
			t.Fatal(err)
		}
	}
	if err := appendReport(path, []byte("late\n"), expired); !errors.Is(err, errLeaseExpired) {
		t.Errorf("report after the end of its lease: got error %v, want errLeaseExpired", err)
	}
	data, err := os.ReadFile(path)
	if err != nil || string(data) != "first\nsecond\n" {
		t.Errorf("the file contains %q (error %v), want the reports that were written during the lease", data, err)
	}
	if err := appendReport(usageFile(dir+"/none", 12), nil, expired); err == nil || errors.Is(err, errLeaseExpired) {
		t.Errorf("file in a missing directory: got error %v, want one other than errLeaseExpired", err)
	}
}
