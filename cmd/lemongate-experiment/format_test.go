package main

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"

	"lemongate/internal/golden"
)

// Subcommands, flags and the file of outcomes are those that scripts of 0.8.0 use. There may be more.
func TestFormatOfEarlierRelease(t *testing.T) {
	var now []string
	for _, c := range command().Commands {
		for _, name := range c.Names() {
			now = append(now, name)
			for _, f := range c.Flags {
				line := fmt.Sprintf("%s --%s %T", name, strings.Join(f.Names(), " -"), f)
				if d, ok := f.(cli.DocGenerationFlag); ok {
					line += fmt.Sprintf(" %q", d.GetDefaultText())
				}
				now = append(now, line)
			}
		}
	}
	for line := range strings.Lines(string(golden.Read(t, "commands.txt"))) {
		if line = strings.TrimSpace(line); !slices.Contains(now, line) {
			t.Errorf("missing: %s", line)
		}
	}
	var r report
	(&golden.Filler{}).Fill(&r)
	data, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "report.json", data)
}
