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

	jsoniter "github.com/json-iterator/go"
	"github.com/urfave/cli/v3"

	"lemongate/internal/lease"
)

// callWithin bounds a call to a console, which answers within a second.
const callWithin = 2 * time.Second

// leases prints what a limiter's console tells of leases.
func leases(ctx context.Context, cmd *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, callWithin)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+cmd.String("console")+"/leases", nil)
	if err != nil {
		return fmt.Errorf("console: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("console: %w", err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return fmt.Errorf("console: status %d, %w", resp.StatusCode, err)
	}
	out := cmd.Root().Writer
	if cmd.Bool("json") {
		_, err := out.Write(data)
		return err
	}
	var list []lease.View
	if err := jsoniter.Unmarshal(data, &list); err != nil {
		return fmt.Errorf("console: %w", err)
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "TASK\tHOLDER\tHELD HERE\tTOKEN\tFOR\tTRY\tKEEPERS\tKEEPS\tWON\tRENEWED\tLOST\tGIVEN\tREFUSED\tWAITED")
	for _, v := range list {
		held, token, left := "no", "-", "-"
		if v.Holds {
			held, token, left = "yes", strconv.FormatUint(v.Token, 10), v.ValidFor.Round(time.Millisecond).String()
		}
		keepers := strings.Trim(fmt.Sprint(v.Acceptors), "[]")
		c := v.Counts
		who := "-"
		if v.Holder >= 0 {
			who = strconv.Itoa(v.Holder)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%v\t%d\t%d\t%d\t%d\t%d\t%d\n",
			v.Task, who, held, token, left, v.Phase, keepers, v.IsAcceptor, c.Won, c.Renewed, c.Lost, c.Released, c.RejectedLate, c.Waited)
	}
	return w.Flush()
}
