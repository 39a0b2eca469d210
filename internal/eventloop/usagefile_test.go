package eventloop

import (
	"errors"
	"os"
	"strings"
	"syscall"
	"testing"
)

// Reports under a token are appended to its file, unless the lease has expired by the time the file is open.
func TestWriteReport(t *testing.T) {
	dir := t.TempDir()
	writer := newUsageWriter(dir)
	valid, expired := func() bool { return false }, func() bool { return true }
	for _, report := range []string{"first\n", "second\n"} {
		if err := writer.write(12, []byte(report), valid); err != nil {
			t.Fatal(err)
		}
	}
	if err := writer.write(12, []byte("late\n"), expired); !errors.Is(err, errLeaseExpired) {
		t.Errorf("report after the end of its lease: got error %v, want errLeaseExpired", err)
	}
	checkUsageFile(t, usageFile(dir, 12), "first\nsecond\n")
	missing := newUsageWriter(dir + "/none")
	if err := missing.write(12, nil, expired); err == nil || errors.Is(err, errLeaseExpired) {
		t.Errorf("file in a missing directory: got error %v, want one other than errLeaseExpired", err)
	}
}

func checkUsageFile(t *testing.T, path, want string) {
	t.Helper()
	if data, err := os.ReadFile(path); err != nil || string(data) != want {
		t.Errorf("the file contains %q (error %v), want %q", data, err, want)
	}
}

// faultyFile is a file whose disk fails: it stores a limited number of bytes, and may not sync or truncate.
type faultyFile struct {
	*os.File
	faults *diskFaults
}

// diskFaults are the faults of a disk at the moment.
type diskFaults struct {
	free               int // bytes that can still be written; -1 for no limit
	syncErr, truncErr  error
	openErr            error
	writeErr, closeErr error
}

func (f faultyFile) Write(data []byte) (int, error) {
	if f.faults.free < 0 || len(data) <= f.faults.free {
		return f.File.Write(data)
	}
	written, err := f.File.Write(data[:f.faults.free])
	return written, errors.Join(err, f.faults.writeErr)
}

func (f faultyFile) Sync() error { return f.faults.syncErr }

func (f faultyFile) Close() error { return errors.Join(f.File.Close(), f.faults.closeErr) }

func (f faultyFile) Truncate(size int64) error {
	if f.faults.truncErr != nil {
		return f.faults.truncErr
	}
	return f.File.Truncate(size)
}

// While the disk is full or fails, a report is neither written half nor twice: once the disk works again, the file has each
// report once.
func TestReportOnceOnFailingDisk(t *testing.T) {
	for name, faults := range map[string]diskFaults{
		"full":                        {free: 3, writeErr: syscall.ENOSPC},
		"full and cannot truncate":    {free: 3, writeErr: syscall.ENOSPC, truncErr: syscall.EIO},
		"cannot sync":                 {free: -1, syncErr: syscall.EIO},
		"cannot sync or truncate":     {free: -1, syncErr: syscall.EIO, truncErr: syscall.EIO},
		"fails at close":              {free: -1, closeErr: syscall.EIO},
		"fails at close and truncate": {free: -1, closeErr: syscall.EIO, truncErr: syscall.EIO},
		"cannot open":                 {openErr: syscall.EIO},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			works := diskFaults{free: -1}
			disk := works
			writer := newUsageWriter(dir)
			open := writer.open
			writer.open = func(path string) (usageFileHandle, error) {
				if disk.openErr != nil {
					return nil, disk.openErr
				}
				file, err := open(path)
				if err != nil {
					return nil, err
				}
				return faultyFile{file.(*os.File), &disk}, nil
			}
			valid := func() bool { return false }
			write := func(report string) error { return writer.write(12, []byte(report), valid) }
			if err := write("first\n"); err != nil {
				t.Fatal(err)
			}
			disk = faults
			for range 2 {
				if err := write("second, once\n"); err == nil {
					t.Error("a write on a failing disk reported no error")
				}
			}
			disk = works
			for _, report := range []string{"second\n", "third\n"} {
				if err := write(report); err != nil {
					t.Errorf("after the fault: %v", err)
				}
			}
			checkUsageFile(t, usageFile(dir, 12), "first\nsecond\nthird\n")
		})
	}
}

// A report that a killed process wrote half is not continued: a later process with the same token starts a new line.
func TestReportAfterHalfLine(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(usageFile(dir, 12), []byte("first\nhalf"), usageFileMode); err != nil {
		t.Fatal(err)
	}
	if err := newUsageWriter(dir).write(12, []byte("second\n"), func() bool { return false }); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(usageFile(dir, 12))
	if err != nil || !strings.HasSuffix(string(data), "\nsecond\n") {
		t.Errorf("the file contains %q (error %v), want the second report on a line of its own", data, err)
	}
}
