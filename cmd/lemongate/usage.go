package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	jsoniter "github.com/json-iterator/go"
	"github.com/urfave/cli/v3"

	"lemongate/internal/usage"
)

var (
	// errIncompleteUsage ends the command with exit code 1 after it has printed the faults.
	errIncompleteUsage = errors.New("usage: incomplete")
	errNoUsageFiles    = errors.New("usage: no files given")
)

// A usageSummary is the JSON output of the command.
type usageSummary struct {
	Periods int                   `json:"periods"`
	Usage   []usage.CustomerUsage `json:"use"`
	Faults  []string              `json:"faults"`
}

func usageCommand() *cli.Command {
	return &cli.Command{
		Name:      "usage",
		Aliases:   []string{"use"},
		Usage:     "merge usage files and print the usage per customer, and which periods are missing, uncertain or duplicate",
		ArgsUsage: "FILE...",
		Flags:     []cli.Flag{jsonFlag()},
		Action:    mergeUsage,
	}
}

// mergeUsage prints the usage of all customers in the given files, and the faults of these files.
func mergeUsage(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() == 0 {
		return errNoUsageFiles
	}
	var reports []usage.Report
	var faults []string
	for _, path := range cmd.Args().Slice() {
		inFile, faultsOfFile, err := readUsageFile(path)
		if err != nil {
			return err
		}
		reports = append(reports, inFile...)
		faults = append(faults, faultsOfFile...)
	}
	summary := usage.Merge(reports)
	summary.Faults = append(faults, summary.Faults...)
	if err := printUsage(cmd.Root().Writer, &summary, cmd.Bool("json")); err != nil {
		return err
	}
	if len(summary.Faults) > 0 {
		return errIncompleteUsage
	}
	return nil
}

// readUsageFile returns the reports in a file, and a fault for each line that cannot be read.
func readUsageFile(path string) (reports []usage.Report, faults []string, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, nil, fmt.Errorf("usage: %w", err)
	}
	defer func() { _ = file.Close() }() // it was only read
	reports, badLines, err := usage.ReadReports(file)
	if err != nil {
		return nil, nil, fmt.Errorf("usage: %s: %w", path, err)
	}
	for _, number := range badLines {
		faults = append(faults, fmt.Sprintf("%s: line %d cannot be read", path, number))
	}
	return reports, faults, nil
}

func printUsage(out io.Writer, summary *usage.Summary, asJSON bool) error {
	if asJSON {
		return jsoniter.NewEncoder(out).Encode(usageSummary{
			Periods: len(summary.Reports), Usage: summary.Usage, Faults: summary.Faults,
		})
	}
	return printUsageTable(out, summary)
}

// printUsageTable prints a row per customer, the range of periods, and a line per fault.
func printUsageTable(out io.Writer, summary *usage.Summary) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "CUSTOMER\tPLAN\tUNITS") // Flush returns the error
	for _, u := range summary.Usage {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%.3f\n", u.Customer, u.Plan, u.Units)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if n := len(summary.Reports); n > 0 {
		first, last := summary.Reports[0], summary.Reports[n-1]
		if _, err := fmt.Fprintf(out, "%d periods, %d to %d\n", n, first.Period, last.Period); err != nil {
			return err
		}
	}
	for _, fault := range summary.Faults {
		if _, err := fmt.Fprintln(out, fault); err != nil {
			return err
		}
	}
	return nil
}
