package config

import (
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func writeOperatorFile(t testing.TB, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "operator.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// The operators' file enables and configures hot restarts. An invalid file gives an error of one line, which names
// the invalid field.
func TestOperatorFile(t *testing.T) {
	var c Config
	if err := c.LoadOperator(""); err != nil || c.HotRestart != nil {
		t.Error(err)
	}
	if err := c.LoadOperator(writeOperatorFile(t, `{"takeover":{"on":false}}`)); err != nil || c.HotRestart != nil {
		t.Error(err)
	}
	if err := c.LoadOperator(writeOperatorFile(t, `{"takeover":{"on":true,"dir":"/x","silence_ms":200,"trial_s":9}}`)); err != nil {
		t.Fatal(err)
	}
	if l := c.HotRestart.limits(); c.HotRestart.Dir != "/x" || l.HeartbeatTimeout != 200*time.Millisecond || l.ProbationDuration != 9*time.Second {
		t.Errorf("hot restart configuration %+v, want directory /x, heartbeat timeout 200ms and probation 9s", c.HotRestart)
	}
	if err := c.LoadOperator("../../deploy/lemongate.json"); err != nil || c.HotRestart == nil {
		t.Errorf("deployed file: error %v, want none and hot restarts enabled", err)
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
		err := c.LoadOperator(writeOperatorFile(t, text))
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line that contains %s", text, err, want)
		}
	}
	if err := c.LoadOperator("no such file"); err == nil {
		t.Error("no error for a file that does not exist")
	}
}

// Tasks under leases require their options, and a lease long enough for the datagrams that a limiter may receive.
func TestOperatorFileLeases(t *testing.T) {
	var c Config
	c.Settings.Limiters, c.Settings.PeerMessagesPerSecond, c.Peers = 5, 40, make([]netip.AddrPort, 5)
	text := `{"leases":{"on":true,"tasks":["trials","rollup","restarts"],"length_ms":9000},"rollup":{"dir":"/x","period_s":7},"restarts":{"most":2}}`
	if err := c.LoadOperator(writeOperatorFile(t, text)); err != nil {
		t.Fatal(err)
	}
	if c.Leases.AcceptorCount != defaultAcceptors || c.Usage.Period != 7*time.Second || c.RestartSlots.MaxConcurrent != 2 || c.RestartSlots.Duration != defaultRestartDuration {
		t.Errorf("leases %+v, usage %+v, restart slots %+v; want 5 acceptors, a period of 7s, and 2 restarts at once with a duration of 30s", c.Leases, c.Usage, c.RestartSlots)
	}
	for text, want := range map[string]string{
		`{"leases":{"on":true,"tasks":["rollup"]}}`:                                                "/rollup/dir",
		`{"leases":{"on":true,"tasks":["trials","restarts"],"length_ms":3000}}`:                    "/leases/length_ms: 2 tasks with 5 acceptors (keepers) require at least 3333 ms",
		`{"leases":{"on":true,"tasks":["trials"]},"restarts":{"most":5}}`:                          "/restarts/most: ",
		`{"leases":{"on":true,"tasks":["trials"]},"rollup":{"period_s":1}}`:                        "/rollup: missing property 'dir'",
		`{"leases":{"on":true,"tasks":["walks"]}}`:                                                 "/leases/tasks/0: ",
		`{"leases":{"on":true,"tasks":["trials"],"keepers":4}}`:                                    "/leases/keepers: ",
		`{"leases":{"on":true,"tasks":["trials","trials"]}}`:                                       "/leases/tasks: ",
		`{"leases":{"on":true,"tasks":["trials"]},"rollup":{"dir":"/x","period_s":1,"every":"m"}}`: "every",
	} {
		err := c.LoadOperator(writeOperatorFile(t, text))
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line that contains %s", text, err, want)
		}
	}
	c.Settings.Limiters = 600
	if err := c.LoadOperator(writeOperatorFile(t, `{"leases":{"on":true,"tasks":["restarts"]}}`)); err == nil || !strings.Contains(err.Error(), "/leases/tasks") {
		t.Error(err)
	}
	c.Settings.Limiters, c.Peers = 5, nil
	if err := c.LoadOperator(writeOperatorFile(t, `{"leases":{"on":true,"tasks":["trials"]}}`)); err == nil || !strings.Contains(err.Error(), "/leases") {
		t.Error(err)
	}
}

// An error about an operators' file has one line, whatever the file contains.
func FuzzOperatorFile(f *testing.F) {
	f.Add(`{"takeover":{"on":true,"silence_ms":200}}`)
	f.Fuzz(func(t *testing.T, text string) {
		var c Config
		if err := c.LoadOperator(writeOperatorFile(t, text)); err != nil && strings.Contains(err.Error(), "\n") {
			t.Errorf("error %v, want one line", err)
		}
	})
}
