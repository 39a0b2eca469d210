package eventloop

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

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

// writeUsage writes a usage report, unless its lease has expired, and posts the outcome.
func (l *Loop) writeUsage(e core.WriteUsage) {
	isExpired := func() bool { return l.now() >= e.StartBefore }
	err := appendReport(usageFile(l.config.Usage.Dir, e.Token), e.Report, isExpired)
	outcome := core.UsageWritten{Token: e.Token, LeaseExpired: errors.Is(err, errLeaseExpired)}
	if err != nil && !outcome.LeaseExpired {
		outcome.Err = errors.New(strings.ReplaceAll(err.Error(), "\n", "; ")) // one line in the log
	}
	l.post(outcome)
}

// appendReport appends a report to a file and syncs the file to disk. It checks the lease once the file is open, and
// writes nothing if the lease has expired.
func appendReport(path string, report []byte, isExpired func() bool) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_APPEND, usageFileMode)
	if err != nil {
		return err
	}
	size, seekErr := f.Seek(0, io.SeekEnd)
	if isExpired() {
		return errors.Join(errLeaseExpired, f.Close())
	}
	if _, err = f.Write(report); err == nil {
		err = f.Sync()
	}
	if err != nil && seekErr == nil {
		_ = f.Truncate(size) // a partial line would corrupt the next one; only the first error is returned
	}
	return errors.Join(err, f.Close())
}
