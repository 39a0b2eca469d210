package experiment

import (
	"encoding/json"
	"reflect"
	"testing"

	"lemongate/internal/golden"
)

// An experiment that 0.8.0 wrote is read into the fields that it was written from, and written with the
// same bytes; so are outcomes.
func TestFormatOfEarlierRelease(t *testing.T) {
	var x Experiment
	(&golden.Filler{}).Fill(&x)
	for i := range x.Cases {
		x.Cases[i].Change = json.RawMessage(`{"seconds":3}`)
	}
	data, err := json.Marshal(x)
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "experiment.json", data)
	var got Experiment
	if err := json.Unmarshal(golden.Read(t, "experiment.json"), &got); err != nil || !reflect.DeepEqual(got, x) {
		t.Errorf("read as %+v, %v; want %+v", got, err, x)
	}
	var o Outcome
	(&golden.Filler{}).Fill(&o)
	outcome, err := json.Marshal(o)
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "outcome.json", outcome)
	golden.Equal(t, "experiment.schema.json", Schema)
}
