package sourcecheck

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// knownFailuresModule has the files of a module, by path. The test TestListed and the experiment a.json can be listed as
// known failures; the scripts stand in for the commands that run them.
var knownFailuresModule = map[string]string{
	"go.mod":             "module listed\n\ngo 1.26.0\n",
	"listed_test.go":     "package listed\n\nimport \"testing\"\n\nfunc TestListed(*testing.T) {}\n",
	"experiments/a.json": "{}",
	"pass":               "echo ok\n",
	"fail":               "echo \"--- FAIL: $1 (0.01s)\"\nexit 1\n",
	"abort":              "exit 1\n",
	"hold":               "echo verdict: held\n",
	"break":              "echo verdict: broken: units\nexit 1\n",
}

// newKnownFailures creates the module in a temporary directory. The returned function runs .ci/known-red there with a
// mode and a list of known failures, and returns the exit code and the output.
func newKnownFailures(t *testing.T) func(mode, list string) (code int, output string) {
	t.Helper()
	script, err := os.ReadFile("../../.ci/known-red")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	write := func(name, text string) {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(".ci/known-red", string(script))
	for name, text := range knownFailuresModule {
		write(name, text)
	}
	return func(mode, list string) (code int, output string) {
		write("KNOWN-RED.txt", list)
		out, err := exec.Command("bash", filepath.Join(dir, ".ci/known-red"), mode).CombinedOutput()
		var exit *exec.ExitError
		if errors.As(err, &exit) {
			return exit.ExitCode(), string(out)
		}
		if err != nil {
			t.Fatal(err)
		}
		return 0, string(out)
	}
}

const (
	listedFails  = ". | TestListed | bash fail TestListed | a fault | 7"
	listedPasses = ". | TestListed | bash pass TestListed | a fault | 7"
	listedBreaks = "experiments | a.json | bash break experiments/a.json | a fault | 7"
	listedHolds  = "experiments | a.json | bash hold experiments/a.json | a fault | 7"
	flaky        = " | at times"
)

// An entry of KNOWN-RED.txt has to fail, unless it is marked as flaky ("at times"). In both cases, the test or
// experiment that the entry names has to exist, and its command has to run it.
func TestKnownRed(t *testing.T) {
	knownFailures := newKnownFailures(t)
	for _, c := range []struct {
		name, list string
		code       int
		want       string
	}{
		{"none", "# a comment", 0, ""},
		{"fails", listedFails, 0, "known red: . TestListed: a fault (issue 7; bash fail TestListed)\n"},
		{"passes", listedPasses, 1, "KNOWN-RED.txt: TestListed passes: take its line out\n"},
		{"at times, fails", listedFails + flaky, 0, "known red, fails at times, failed now: . TestListed: a fault (issue 7; "},
		{"at times, passes", listedPasses + flaky, 0, "known red, fails at times, passed now: . TestListed: a fault (issue 7; "},
		{"no such test", strings.ReplaceAll(listedFails, "TestListed", "TestOther"), 1, "no TestOther in ."},
		{"no such test, at times", strings.ReplaceAll(listedPasses, "TestListed", "TestOther") + flaky, 1, "no TestOther in ."},
		{"command of another test", ". | TestListed | bash pass TestOther | a fault | 7" + flaky, 1, "the command of TestListed does not run it"},
		{"command of no test", ". | TestListed | go test -run TestListedToo . | a fault | 7" + flaky, 1, "the command of TestListed does not run it"},
		{"command aborts", ". | TestListed | bash abort TestListed | a fault | 7" + flaky, 1, "does not get as far as its failure"},

		{"experiment is broken", listedBreaks, 0, "known red: experiments a.json: a fault (issue 7; "},
		{"experiment holds", listedHolds, 1, "a.json passes: take its line out"},
		{"experiment is broken, at times", listedBreaks + flaky, 0, "known red, fails at times, failed now: experiments a.json: "},
		{"experiment holds, at times", listedHolds + flaky, 0, "known red, fails at times, passed now: experiments a.json: "},
		{"experiment aborts", "experiments | a.json | bash abort experiments/a.json | a fault | 7" + flaky, 1, "as far as its verdict"},
		{"experiment without verdict", "experiments | a.json | bash pass experiments/a.json | a fault | 7" + flaky, 1, "as far as its verdict"},
		{"no such experiment", strings.ReplaceAll(listedBreaks, "a.json", "b.json"), 1, "no experiments/b.json"},
		{"no such experiment, at times", strings.ReplaceAll(listedHolds, "a.json", "b.json") + flaky, 1, "no experiments/b.json"},

		{"another mark", listedBreaks + " | often", 1, `neither empty nor "at times": often`},
		{"no issue", "experiments | a.json | bash break experiments/a.json | a fault", 1, "a line without test, command, what was seen or issue"},
		{"second passes", listedHolds + flaky + "\n" + listedHolds, 1, "a.json passes: take its line out"},
		{"second fails", listedHolds + flaky + "\n" + listedBreaks, 0, "\nknown red: experiments a.json: a fault"},
	} {
		if code, output := knownFailures("check", c.list+"\n"); code != c.code || !strings.Contains(output, c.want) {
			t.Errorf("%s: exit code %d, want %d; output %q, want %q", c.name, code, c.code, output, c.want)
		}
	}
}

// The pattern for skipping tests also includes flaky tests. Printing the pattern does not run the commands in the list.
func TestSkipPatternOfKnownFailures(t *testing.T) {
	knownFailures := newKnownFailures(t)
	other := strings.ReplaceAll(listedPasses, "TestListed", "TestOther")
	for list, want := range map[string]string{
		"# a comment\n":                  "\n",
		listedFails + "\n" + listedHolds: "^TestListed$\n",
		listedPasses + flaky:             "^TestListed$\n",
		other + "\n" + listedBreaks + flaky + "\n" + listedFails + flaky: "^TestOther$|^TestListed$\n",
	} {
		if code, output := knownFailures("skip", list); code != 0 || output != want {
			t.Errorf("%q: exit code %d, output %q, want %q", list, code, output, want)
		}
	}
}
