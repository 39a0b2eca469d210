package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"lemongate/internal/lease"
)

// leaseColumns is the header of the table of leases. Scripts read it.
const leaseColumns = "TASK\tHOLDER\tHELD HERE\tTOKEN\tFOR\tTRY\tKEEPERS\tKEEPS\tWON\tRENEWED\tLOST\tGIVEN\tREFUSED\tWAITED"

func leasesCommand() *cli.Command {
	return &cli.Command{
		Name:   "leases",
		Usage:  "print the leases as a running limiter sees them: tasks that one limiter does at a time",
		Flags:  []cli.Flag{adminAddressFlag(), jsonFlag()},
		Action: leases,
	}
}

// leases prints the leases that a limiter's administration server reports.
func leases(ctx context.Context, cmd *cli.Command) error {
	address, out := cmd.String("console"), cmd.Root().Writer
	if cmd.Bool("json") {
		body, err := callAdmin(ctx, http.MethodGet, address, "/leases", nil)
		if err != nil {
			return err
		}
		_, err = out.Write(body)
		return err
	}
	var views []lease.View
	if _, err := callAdmin(ctx, http.MethodGet, address, "/leases", &views); err != nil {
		return err
	}
	return printLeases(out, views)
}

// printLeases prints a table of leases.
func printLeases(out io.Writer, views []lease.View) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, leaseColumns) // Flush returns the error
	for i := range views {
		_, _ = fmt.Fprintln(table, leaseRow(&views[i]))
	}
	return table.Flush()
}

// leaseRow returns one row of the table, in the order of leaseColumns.
func leaseRow(v *lease.View) string {
	holder := "-"
	if v.Holder >= 0 {
		holder = strconv.Itoa(v.Holder)
	}
	held, token, validFor := "no", "-", "-"
	if v.Holds {
		held = "yes"
		token = strconv.FormatUint(v.Token, 10)
		validFor = v.ValidFor.Round(time.Millisecond).String()
	}
	acceptors := strings.Trim(fmt.Sprint(v.Acceptors), "[]")
	c := v.Counts
	return fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s\t%s\t%v\t%d\t%d\t%d\t%d\t%d\t%d",
		v.Task, holder, held, token, validFor, v.Phase, acceptors, v.ActiveAcceptor,
		c.Won, c.Renewed, c.Lost, c.Released, c.LateActions, c.UnansweredProposals)
}
