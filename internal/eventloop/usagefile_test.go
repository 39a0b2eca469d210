package eventloop

import (
	"errors"
	"os"
	"testing"
)

// Reports of a token are appended to its file, unless the lease has expired once the file is open.
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
		t.Errorf("a report after the end of its lease: %v", err)
	}
	data, err := os.ReadFile(path)
	if err != nil || string(data) != "first\nsecond\n" {
		t.Errorf("%q, %v", data, err)
	}
	if err := appendReport(usageFile(dir+"/none", 12), nil, expired); err == nil || errors.Is(err, errLeaseExpired) {
		t.Errorf("a file in no directory: %v", err)
	}
}
