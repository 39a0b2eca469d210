package simprotocol

import (
	"bytes"
	"errors"
	"strings"
	"testing"
)

// serve returns the replies that Serve writes to the batches of the input, and its error.
func serve(t *testing.T, input string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := Serve(strings.NewReader(input), &out)
	return out.String(), err
}

// startBatch is a batch that starts a limiter with one backend.
const startBatch = "frame\t1.5\t1\n" +
	"power_on\tdoor_0\t42\t" + settingsText + "\n" +
	"membership\tdoor_0\t3\tC\t1\n" +
	"row\tb_one\tnorth\tbox\t0\tlive\t1\t-\n" +
	"your_turn\n"

const settingsText = `{"siblings":1,"me":0,"zone":"north","granularity_s":0.001,"a new key":{"x":[1]},` +
	`"classes":[{"name":"read","effect":"idempotent","group":"all","on_time_s":0.5,"deadline_s":2,"importance":1}],` +
	`"tiers_of_service":[{"name":"small","refill":2,"depth":1}],` +
	`"allowed":{"max_attempts":2,"retry_after":true,"max_retry_after_s":1}}`

// A request is sent to a backend and served, and the next one is rejected because it is beyond the quota.
func TestTranscript(t *testing.T) {
	got, err := serve(t, startBatch+
		"frame\t1.6\t2\n"+
		"accept\tdoor_0\t77\t1.25\t0\t0\t1\t0\tsmall\t1\tcust/x\tread\n"+
		"your_turn\n"+
		"frame\t1.7\t3\n"+
		"answer\tdoor_0\t77\t0\tb_one\tdone\t0.1\t1\t0\t0\t-\n"+
		"accept\tdoor_0\t78\t1.25\t0\t0\t1\t0\tsmall\t1\tcust/x\tread\n"+
		"fired\tdoor_0\tsome other token\n"+
		"your_turn\n"+
		"frame\t1.8\t4\nyour_turn\n")
	if err != nil {
		t.Fatal(err)
	}
	want := "defer\tdoor_0\t1.750000\tbeat\n" +
		"ok\t1\n" +
		"attempt\tdoor_0\t77\tb_one\t2.850000\n" +
		"ok\t2\n" +
		"deny\tdoor_0\t78\t0.400000\n" +
		"ok\t3\n" +
		"ok\t4\n"
	if got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}

// Events for a limiter that was halted or never started have no effect, and a halted limiter may start again in the
// same batch.
func TestHaltAndRestart(t *testing.T) {
	got, err := serve(t, startBatch+
		"frame\t2\t2\n"+
		"halt\tdoor_0\n"+
		"aborted\tdoor_0\t5\n"+
		"fired\tdoor_9\tbeat\n"+
		"power_on\tdoor_0\t-7\t"+settingsText+"\n"+
		"membership\tdoor_0\t3\tC\t0\n"+
		"your_turn\n")
	if err != nil || !strings.HasSuffix(got, "defer\tdoor_0\t2.250000\tbeat\nok\t2\n") {
		t.Errorf("got replies %q, error %v; want replies that end with a timer at 2.25 s and ok 2", got, err)
	}
}

// Malformed input ends Serve with an error text of a single line, which has the number of the line and what is wrong.
func TestMalformed(t *testing.T) {
	for input, want := range map[string]string{
		"hello\n":                  "line 1: want frame",
		"frame\tx\t1\nyour_turn\n": "line 1: frame: part 1: want a number",
		"frame\t1\n":               "line 1: frame: 2 parts, want 3",
		"frame\t1\t1\n":            "line 1: input ends inside a batch",
		"frame\t1\t1\nbogus\tdoor_0\nyour_turn\n":    "line 2: unknown event",
		"frame\t1\t1\nhalt\nyour_turn\n":             "line 2: halt: 1 parts, want 2",
		"frame\t1\t1\naborted\td\t-1\n":              "line 2: aborted: part 2: want a request id",
		"frame\t1\t1\naborted\td\t4294967296\n":      "line 2: aborted: part 2: want a request id",
		"frame\t1\t1\nmessage\td\t1\t%%%\n":          "line 2: message: part 3: want base64",
		"frame\t1\t1\nprobed\td\tb\tgood\t1\t-\n":    "line 2: probed: part 3: want a known word",
		"frame\t1\t1\nprobed\td\tb\tdone\tNaN\t-\n":  "line 2: probed: part 4: want a number",
		"frame\t1\t1\nmembership\td\t1\tF\t2\nrow\t": "line 3: row: 2 parts, want 8",
		"frame\t1\t1\nmembership\td\t1\tF\t1\n":      "line 2: membership: input ends after 0 of 1 rows",
		"frame\t1\t1\npower_on\td\t1\t{}\n":          "line 2: power_on: settings: no classes",
		"frame\t1\t1\npower_on\td\t1\t{\n":           "line 2: power_on: settings: bad JSON",
	} {
		_, err := serve(t, input)
		if err == nil || !strings.HasPrefix(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: got error %v, want one line that begins with %q", input, err, want)
		}
	}
}

// The error has the number of the malformed line, also if that follows a batch that was served.
func TestLineError(t *testing.T) {
	replies, err := serve(t, startBatch+"frame\t2\t2\naborted\tdoor_0\tx\n")
	var malformed *LineError
	if !errors.As(err, &malformed) || malformed.Line != 7 {
		t.Errorf("got %v, want an error in line 7", err)
	}
	if !strings.HasSuffix(replies, "ok\t1\n") {
		t.Errorf("got replies %q, want the one to the first batch", replies)
	}
}

// No input makes Serve panic or return an error without a message.
func FuzzServe(f *testing.F) {
	f.Add(startBatch)
	f.Add("frame\t1\t1\nyour_turn\n")
	f.Add(startBatch + "frame\t2\t2\nmessage\tdoor_0\t1\tAQAAAAE=\nreckoned\tdoor_0\t1\tdone\t1\tx\nyour_turn\n")
	f.Add(startBatch + "frame\t2\t2\nfirst\tdoor_0\t1\t0.1\tb\t0\nprobed\tdoor_0\tb\tdone\t1\t1,-,2\nyour_turn\n")
	f.Fuzz(func(t *testing.T, input string) {
		var out bytes.Buffer
		if err := Serve(strings.NewReader(input), &out); err != nil && err.Error() == "" {
			t.Error("Serve returned an error without a message")
		}
	})
}
