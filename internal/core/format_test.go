package core

import (
	"encoding/json"
	"fmt"
	"testing"

	"lemongate/internal/golden"
)

// Counters and RestartSlotView are encoded with the JSON fields of release 0.8.0, which scripts read.
func TestCountersOfEarlierRelease(t *testing.T) {
	var counters Counters
	(&golden.Filler{}).Fill(&counters)
	data, err := json.Marshal(counters)
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "counters.json", data)
	for pattern := range 2 {
		var view RestartSlotView
		(&golden.Filler{Pattern: pattern}).Fill(&view)
		data, err := json.Marshal(view)
		if err != nil {
			t.Fatal(err)
		}
		golden.Equal(t, fmt.Sprintf("turn-%d.json", pattern), data)
	}
}

// The phases have the names of release 0.8.0.
func TestPhaseNamesOfEarlierRelease(t *testing.T) {
	var names []byte
	for phase := Starting; phase <= Stopped; phase++ {
		names = fmt.Appendf(names, "%v\n", phase)
	}
	golden.Equal(t, "phases.txt", names)
}
