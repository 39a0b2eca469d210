package experiment

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"lemongate/internal/golden"
)

// An experiment file of release 0.8.0 is read into the fields that it was written from and is written with the
// same bytes; outcomes are written with the same bytes, too.
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
		t.Errorf("experiment.json read as %+v, error %v; want %+v", got, err, x)
	}
	var o Outcome
	(&golden.Filler{}).Fill(&o)
	outcome, err := json.Marshal(o)
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "outcome.json", outcome)
	golden.Equal(t, "experiment.schema.json", withoutLaterProperties(Schema))
}

// laterProperty is in the description of each schema property that is newer than the release which wrote the
// recorded files. Such a property takes one line.
const laterProperty = "; since 0."

// withoutLaterProperties returns the schema without the properties that were added after the recorded release. The rest
// has to stay byte for byte, including which properties are required.
func withoutLaterProperties(schema []byte) []byte {
	var kept []byte
	for line := range bytes.Lines(schema) {
		if !bytes.Contains(line, []byte(laterProperty)) {
			kept = append(kept, line...)
		}
	}
	return kept
}

// Plan.MaxConcurrent is read and written under the name that it has in the settings of limiters. A plan without a limit
// is written without the field.
func TestFormatOfConcurrency(t *testing.T) {
	withLimit := strings.Replace(smallExperiment, `"customers": 2`, `"concurrency": 6, "customers": 2`, 1)
	x, err := Parse([]byte(withLimit))
	if err != nil || x.Base.Plans[0].MaxConcurrent != 6 {
		t.Fatalf("a plan with \"concurrency\": 6 parsed as %+v, error %v", x, err)
	}
	for _, c := range []struct {
		text string
		want bool
	}{{withLimit, true}, {smallExperiment, false}} {
		x, err := Parse([]byte(c.text))
		if err != nil {
			t.Fatal(err)
		}
		data, err := json.Marshal(x.Base.Plans[0])
		if err != nil || strings.Contains(string(data), `"concurrency":6`) != c.want || strings.Contains(string(data), "concurrency") != c.want {
			t.Errorf("plan written as %s, error %v", data, err)
		}
	}
	for _, wrong := range []string{`-1`, `1.5`, `"6"`} {
		if _, err := Parse([]byte(strings.Replace(withLimit, `"concurrency": 6`, `"concurrency": `+wrong, 1))); err == nil || !strings.Contains(err.Error(), "/scenario/plans/0/concurrency") {
			t.Errorf("concurrency of %s: error %v, want one that names the field", wrong, err)
		}
	}
}
