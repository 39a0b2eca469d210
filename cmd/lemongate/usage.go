package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"text/tabwriter"

	jsoniter "github.com/json-iterator/go"
	"github.com/urfave/cli/v3"

	"lemongate/internal/usage"
)

// errGaps ends the command with exit code 1 after what is missing was told.
var errGaps = errors.New("use: not whole")

// use joins the files of the fleet's use: what all used, and what is missing, in doubt or twice.
func use(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() == 0 {
		return errors.New("use: a file at least is wanted")
	}
	var lines []usage.Report
	var bad []string
	for _, path := range cmd.Args().Slice() {
		f, err := os.Open(path)
		if err != nil {
			return fmt.Errorf("use: %w", err)
		}
		more, torn, err := usage.ReadReports(f)
		f.Close()
		if err != nil {
			return fmt.Errorf("use: %s: %w", path, err)
		}
		lines = append(lines, more...)
		for _, n := range torn {
			bad = append(bad, fmt.Sprintf("%s: line %d cannot be read", path, n))
		}
	}
	s := usage.Merge(lines)
	s.Faults = append(bad, s.Faults...)
	out := cmd.Root().Writer
	if cmd.Bool("json") {
		if err := jsoniter.NewEncoder(out).Encode(map[string]any{"periods": len(s.Reports), "use": s.Usage, "faults": s.Faults}); err != nil {
			return err
		}
	} else {
		w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
		fmt.Fprintln(w, "CUSTOMER\tPLAN\tUNITS")
		for _, u := range s.Usage {
			fmt.Fprintf(w, "%s\t%s\t%.3f\n", u.Customer, u.Plan, u.Units)
		}
		if err := w.Flush(); err != nil {
			return err
		}
		if n := len(s.Reports); n > 0 {
			fmt.Fprintf(out, "%d periods, %d to %d\n", n, s.Reports[0].Period, s.Reports[n-1].Period)
		}
		for _, line := range s.Faults {
			fmt.Fprintln(out, line)
		}
	}
	if len(s.Faults) > 0 {
		return errGaps
	}
	return nil
}
