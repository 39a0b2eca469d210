package eventloop

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"

	"lemongate/internal/core"
)

// usageFileMode lets all users read the files of usage reports.
const usageFileMode = 0o644

// usageFile returns the path of the file for the reports under a fencing token. Each lease has a file of its own, so
// that a report that is written after its lease has ended cannot damage those of a later lease holder.
func usageFile(dir string, token uint64) string {
	return filepath.Join(dir, fmt.Sprintf("use-%020d.jsonl", token))
}

// errLeaseExpired means that a report was not written because its lease had expired.
var errLeaseExpired = errors.New("lease has expired")

// usageFileHandle is the part of os.File that is needed to append a report.
type usageFileHandle interface {
	io.WriteSeeker
	io.ReaderAt
	io.Closer
	Sync() error
	Truncate(size int64) error
}

// usageWriter appends usage reports to the files of their leases. It is safe for concurrent use: a write that the disk holds
// up may still run when the next lease has been won.
type usageWriter struct {
	dir  string
	open func(path string) (usageFileHandle, error)

	mu sync.Mutex
	// token is the fencing token of the latest lease with a report, and size that of its file up to the end of the last
	// report that was written and synced.
	token uint64
	size  int64
}

func newUsageWriter(dir string) *usageWriter {
	return &usageWriter{dir: dir, open: func(path string) (usageFileHandle, error) {
		return os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_APPEND, usageFileMode)
	}}
}

// writeUsage writes a usage report, unless its lease has expired, and posts the outcome.
func (l *Loop) writeUsage(e core.WriteUsage) {
	err := l.usageWriter.write(e.Token, e.Report, func() bool { return l.now() >= e.StartBefore })
	outcome := core.UsageWritten{Token: e.Token, LeaseExpired: errors.Is(err, errLeaseExpired)}
	if err != nil && !outcome.LeaseExpired {
		outcome.Err = errors.New(strings.ReplaceAll(err.Error(), "\n", "; ")) // one line in the log
	}
	l.post(outcome)
}

// write appends a report to the file of a lease and syncs the file to disk. It checks the lease once the file is ready, and
// writes nothing if the lease has expired. What an earlier, failed write left in the file is removed first.
func (w *usageWriter) write(token uint64, report []byte, isExpired func() bool) error {
	file, err := w.open(usageFile(w.dir, token))
	if err != nil {
		return err
	}
	size, err := w.removeFailedWrite(file, token)
	if err != nil {
		return errors.Join(err, file.Close())
	}
	if isExpired() {
		return errors.Join(errLeaseExpired, file.Close())
	}
	if !endsLine(file, size) {
		report = append([]byte{'\n'}, report...)
	}
	if _, err = file.Write(report); err == nil {
		err = file.Sync()
	}
	if err != nil {
		_ = file.Truncate(size) // otherwise the next write does it; only the first error is returned
	}
	if err = errors.Join(err, file.Close()); err == nil {
		w.recordSize(token, size+int64(len(report)))
	}
	return err
}

// endsLine reports whether a file of the given size is empty or ends with a complete line. It does not where a process was
// killed while it wrote.
func endsLine(file io.ReaderAt, size int64) bool {
	var last [1]byte
	if size == 0 {
		return true
	}
	_, err := file.ReadAt(last[:], size-1)
	return err == nil && last[0] == '\n'
}

// removeFailedWrite truncates a file to the reports that were written and returns its size.
func (w *usageWriter) removeFailedWrite(file usageFileHandle, token uint64) (size int64, err error) {
	end, err := file.Seek(0, io.SeekEnd)
	if err != nil {
		return 0, err
	}
	w.mu.Lock()
	if token > w.token {
		w.token, w.size = token, end
	}
	if token == w.token {
		size = w.size
	} else {
		size = end
	}
	w.mu.Unlock()
	if end > size {
		err = file.Truncate(size)
	}
	return size, err
}

// recordSize records that a report was written to the file of a lease, which ends at size now.
func (w *usageWriter) recordSize(token uint64, size int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if token == w.token {
		w.size = size
	}
}
