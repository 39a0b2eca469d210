package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"

	"lemongate/internal/golden"
)

// Subcommands, flags, their defaults and their environment variables are those of 0.8.0, which scripts use. Further
// ones may be added.
func TestCommandsOfEarlierRelease(t *testing.T) {
	var commands []string
	root := command()
	for _, c := range root.Commands {
		for _, name := range c.Names() {
			commands = append(commands, name)
			for _, f := range c.Flags {
				line := fmt.Sprintf("%s --%s %T", name, strings.Join(f.Names(), " -"), f)
				if d, ok := f.(cli.DocGenerationFlag); ok {
					line += fmt.Sprintf(" %q %v", d.GetDefaultText(), d.GetEnvVars())
				}
				commands = append(commands, line)
			}
		}
	}
	for line := range strings.Lines(string(golden.Read(t, "commands.txt"))) {
		if line = strings.TrimSpace(line); !slices.Contains(commands, line) {
			t.Errorf("missing from the command line: %s", line)
		}
	}
}

// Exit codes, and whether a command writes to standard output and standard error, are those of 0.8.0.
func TestExitCodesOfEarlierRelease(t *testing.T) {
	program := filepath.Join(t.TempDir(), "lemongate")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	usage := filepath.Join(t.TempDir(), "usage")
	if err := os.WriteFile(usage, []byte("{\"period\":7,\"token\":1,\"missing\":[2]}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	for _, args := range []string{
		"version", "schema", "check", "serve", "serve --log-level loud", "serve --operator missing", "use", "use missing", "use " + usage, "use --json " + usage,
		"leases", "leases --console 127.0.0.1:1", "turn", "turn --console 127.0.0.1:1 --wait 10ms", "turn --console 127.0.0.1:1 --back",
		"no-such-command", "--no-such-flag", "",
	} {
		cmd := exec.Command(program, strings.Fields(args)...)
		var out, errs strings.Builder
		cmd.Stdout, cmd.Stderr = &out, &errs
		cmd.Env = []string{"PATH=" + os.Getenv("PATH")}
		if err := cmd.Run(); err != nil && cmd.ProcessState == nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&b, "%q: %d, output %v, errors %v\n", strings.ReplaceAll(args, usage, "FILE"), cmd.ProcessState.ExitCode(), out.Len() > 0, errs.Len() > 0)
	}
	golden.Equal(t, "exit-codes.txt", []byte(b.String()))
}
