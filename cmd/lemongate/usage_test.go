package main

import (
	"os"
	"strings"
	"testing"
)

// The usage command merges files, reports lines that cannot be read, and fails if there is a fault.
func TestUsageCommand(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		if err := os.WriteFile(dir+"/"+name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return dir + "/" + name
	}
	a := write("use-1.jsonl", `{"period":4,"after":0,"token":1,"limiter":0,"at":"x","use":[{"customer":"c","plan":"gold","units":2.5}]}`+"\n")
	b := write("use-2.jsonl", `{"period":5,"after":4,"token":2,"limiter":1,"at":"x","use":[{"customer":"c","plan":"gold","units":1}]}`+"\n"+`{"period":6,`)
	if out, err := run(t, "usage", a); err != nil || !strings.Contains(out, "2.500") || !strings.Contains(out, "1 periods, 4 to 4") {
		t.Errorf("usage of one file: got %q, %v; want 2.500 units of 1 period", out, err)
	}
	out, err := run(t, "usage", "--json", a, b)
	if err == nil || !strings.Contains(out, `"units":3.5`) || !strings.Contains(out, "line 2 cannot be read") {
		t.Errorf("usage of two files: got %q, %v; want 3.5 units, a line that cannot be read, and an error", out, err)
	}
	if _, err := run(t, "usage", "no such file"); err == nil {
		t.Error("usage of a missing file succeeded, want an error")
	}
	if out, err := run(t, "schema"); err != nil || !strings.Contains(out, `"rollup"`) {
		t.Errorf("the schema does not have the section of usage reports, or cannot be printed: %v", err)
	}
}
