package quota

import (
	"fmt"
	"strings"
	"testing"

	"lemongate/internal/golden"
)

// Start states have the names that release 0.8.0 gave them.
func TestStartStateNamesOfEarlierRelease(t *testing.T) {
	var b strings.Builder
	for _, s := range []StartState{StartUnknown, TierStarted, LimiterRestarted, TierRestarted} {
		fmt.Fprintf(&b, "%d %v\n", s, s)
	}
	golden.Equal(t, "standings.txt", []byte(b.String()))
}
