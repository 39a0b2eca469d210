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

// Subcommands, flags and the fields of the report include those that scripts of release 0.8.0 use.
func TestFormatOfEarlierRelease(t *testing.T) {
	var current []string
	for _, c := range command().Commands {
		for _, name := range c.Names() {
			current = append(current, name)
			for _, f := range c.Flags {
				line := fmt.Sprintf("%s --%s %T", name, strings.Join(f.Names(), " -"), f)
				if d, ok := f.(cli.DocGenerationFlag); ok {
					line += fmt.Sprintf(" %q", d.GetDefaultText())
				}
				current = append(current, line)
			}
		}
	}
	for line := range strings.Lines(string(golden.Read(t, "commands.txt"))) {
		if line = strings.TrimSpace(line); !slices.Contains(current, line) {
			t.Errorf("no command or flag %q, which release 0.8.0 has", line)
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
