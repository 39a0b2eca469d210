package processharness

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// startLimiterVariable is the environment variable that makes the test program start a limiter and wait to be killed.
const startLimiterVariable = "LEMONGATE_TEST_HOLD"

// A limiter process ends with the program that started it, even if that program is killed. Otherwise it would keep
// running, log nothing at the error level, and retry its watch forever at a port that another program may use by then.
func TestLimiterEndsWithKilledProgram(t *testing.T) {
	if os.Getenv(startLimiterVariable) != "" {
		limiter := New(t, 1, 1, "sleep", "60").Limiters[0].Start()
		fmt.Printf("started %d\n", limiter.Cmd.Process.Pid)
		time.Sleep(time.Minute)
		return
	}
	program := exec.Command(os.Args[0], "-test.run", "^"+t.Name()+"$")
	program.Env = append(os.Environ(), startLimiterVariable+"=1", "TMPDIR="+t.TempDir())
	out, err := program.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := program.Start(); err != nil {
		t.Fatal(err)
	}
	pid := startedPID(t, bufio.NewScanner(out))
	_ = program.Process.Kill()                                   // cannot fail: the program runs until it is killed
	_ = program.Wait()                                           // the error reports the kill signal
	t.Cleanup(func() { _ = syscall.Kill(pid, syscall.SIGKILL) }) // in case the test fails
	WaitUntil(t, "the end of the limiter", func() bool {
		line, err := os.ReadFile(fmt.Sprintf("/proc/%d/cmdline", pid))
		return err != nil || len(line) == 0 // empty for a process that has ended and has not been waited for
	})
}

// startedPID reads the ID of the limiter process from the output of the test program.
func startedPID(t *testing.T, lines *bufio.Scanner) int {
	t.Helper()
	for lines.Scan() {
		if text, found := strings.CutPrefix(lines.Text(), "started "); found {
			pid, err := strconv.Atoi(text)
			if err != nil {
				t.Fatal(err)
			}
			return pid
		}
	}
	t.Fatal("the test program has not printed the ID of a limiter process")
	return 0
}
