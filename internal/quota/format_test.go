package quota

import (
	"fmt"
	"strings"
	"testing"

	"lemongate/internal/golden"
)

// What a start was taken for is told by the names of 0.8.0.
func TestStandingNamesOfEarlierRelease(t *testing.T) {
	var b strings.Builder
	for _, s := range []RecoveryState{RecoveryUnknown, TierStarted, LimiterRestarted, TierRestarted} {
		fmt.Fprintf(&b, "%d %v\n", s, s)
	}
	golden.Equal(t, "standings.txt", []byte(b.String()))
}
