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

// holdVariable makes the test program start a limiter and wait to be killed.
const holdVariable = "LEMONGATE_TEST_HOLD"

// A limiter process ends with the program that started it, also if that program is killed. Otherwise it keeps
// running, logs nothing at the error level, and retries its watch forever on a port that the kernel gives to others.
func TestLimiterEndsWithKilledProgram(t *testing.T) {
	if os.Getenv(holdVariable) != "" {
		limiter := New(t, 1, 1, "sleep", "60").Limiters[0].Start()
		fmt.Printf("started %d\n", limiter.Cmd.Process.Pid)
		time.Sleep(time.Minute)
		return
	}
	program := exec.Command(os.Args[0], "-test.run", "^"+t.Name()+"$")
	program.Env = append(os.Environ(), holdVariable+"=1", "TMPDIR="+t.TempDir())
	out, err := program.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := program.Start(); err != nil {
		t.Fatal(err)
	}
	pid := startedPID(t, bufio.NewScanner(out))
	_ = program.Process.Kill()                                   // it runs until it is killed
	_ = program.Wait()                                           // returns that it was killed
	t.Cleanup(func() { _ = syscall.Kill(pid, syscall.SIGKILL) }) // in case it has not ended
	WaitUntil(t, "the end of the limiter", func() bool {
		line, err := os.ReadFile(fmt.Sprintf("/proc/%d/cmdline", pid))
		return err != nil || len(line) == 0 // empty once the process has ended and has not been waited for
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
	t.Fatal("no limiter was started")
	return 0
}
