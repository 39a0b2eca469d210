package simulation

import (
	"encoding/json"
	"testing"

	"lemongate/internal/golden"
)

// A Result has the JSON names that release 0.8.0 wrote: the bounds of experiments refer to them.
func TestResultOfEarlierRelease(t *testing.T) {
	var r Result
	(&golden.Filler{}).Fill(&r)
	data, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "result.json", data)
}
