package simulation

import (
	"encoding/json"
	"os"
	"testing"
)

// Each kind of fault in the experiment schema has a function that starts it.
func TestEachFaultKindOfSchemaHasStarter(t *testing.T) {
	data, err := os.ReadFile("../experiment/experiment.schema.json")
	if err != nil {
		t.Fatal(err)
	}
	var schema struct {
		Defs struct {
			Fault struct {
				Properties struct {
					Kind struct {
						Enum []FaultKind `json:"enum"`
					} `json:"kind"`
				} `json:"properties"`
			} `json:"fault"`
		} `json:"$defs"`
	}
	if err := json.Unmarshal(data, &schema); err != nil {
		t.Fatal(err)
	}
	kinds := schema.Defs.Fault.Properties.Kind.Enum
	for _, kind := range kinds {
		if faultStarters[kind] == nil {
			t.Errorf("fault kind %q has no starter", kind)
		}
	}
	if len(kinds) != len(faultStarters) {
		t.Errorf("%d fault kinds in the schema, %d starters", len(kinds), len(faultStarters))
	}
}
