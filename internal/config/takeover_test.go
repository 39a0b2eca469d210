package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func operatorFile(t testing.TB, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "operator.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// The operators' file switches on what it names, and one that is wrong is told in one line with
// the field.
func TestOperator(t *testing.T) {
	var c Config
	if err := c.Operator(""); err != nil || c.Takeover != nil {
		t.Error(err)
	}
	if err := c.Operator(operatorFile(t, `{"takeover":{"on":false}}`)); err != nil || c.Takeover != nil {
		t.Error(err)
	}
	if err := c.Operator(operatorFile(t, `{"takeover":{"on":true,"dir":"/x","silence_ms":200,"trial_s":9}}`)); err != nil {
		t.Fatal(err)
	}
	if l := c.Takeover.limits(); c.Takeover.Dir != "/x" || l.Silence != 200*time.Millisecond || l.Trial != 9*time.Second {
		t.Errorf("%+v", c.Takeover)
	}
	if err := c.Operator("../../deploy/lemongate.json"); err != nil || c.Takeover == nil {
		t.Errorf("the file that is deployed: %v", err)
	}
	for text, want := range map[string]string{
		`{`:                                      "bad JSON",
		`{"takover":{}}`:                         "takover",
		`{"takeover":{}}`:                        "/takeover: missing property 'on'",
		`{"takeover":{"on":"yes"}}`:              "/takeover/on: ",
		`{"takeover":{"on":true,"trial_s":0}}`:   "/takeover/trial_s: ",
		`{"takeover":{"on":true,"more":0}}`:      "more",
		`{"takeover":{"on":true,"trial_s":1.5}}`: "/takeover/trial_s: ",
	} {
		err := c.Operator(operatorFile(t, text))
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want %s", text, err, want)
		}
	}
	if err := c.Operator("no such file"); err == nil {
		t.Error("a file that is not there")
	}
}

func FuzzOperator(f *testing.F) {
	f.Add(`{"takeover":{"on":true,"silence_ms":200}}`)
	f.Fuzz(func(t *testing.T, text string) {
		var c Config
		if err := c.Operator(operatorFile(t, text)); err != nil && strings.Contains(err.Error(), "\n") {
			t.Errorf("more than a line: %v", err)
		}
	})
}
