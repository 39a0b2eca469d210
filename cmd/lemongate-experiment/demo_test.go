package main

import (
	"bytes"
	"context"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// The demo runs to its end with a response to every request, and prints a line each second. Its alias "town" works,
// too.
func TestDemo(t *testing.T) {
	program := filepath.Join(t.TempDir(), "lemongate")
	if out, err := exec.Command("go", "build", "-o", program, "lemongate/cmd/lemongate").CombinedOutput(); err != nil {
		t.Fatalf("building lemongate: %v: %s", err, out)
	}
	var out bytes.Buffer
	cmd := command()
	cmd.Writer = &out
	if err := cmd.Run(context.Background(), []string{"lemongate-experiment", "demo", "--for", "4s", "--program", program}); err != nil {
		t.Errorf("the demo ended with the error %v; its output:\n%s", err, &out)
	}
	for _, want := range []string{"\n       1 ", "a backend is killed", "it is back", "  in all "} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the output has no %q:\n%s", want, &out)
		}
	}
	if err := command().Run(context.Background(), []string{"lemongate-experiment", "town", "--program", "no such file"}); err == nil {
		t.Error("a demo with a missing limiter program ended without an error")
	}
}
