package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"lemongate/internal/core"
)

const (
	// restartSlotPollInterval is the time between two polls of a limiter that has no slot yet.
	restartSlotPollInterval = 100 * time.Millisecond
	// defaultRestartSlotWait is how long the command waits for a slot unless the wait flag is set.
	defaultRestartSlotWait = 10 * time.Minute
)

// errRestartSlotsDisabled reports that restart slots are not enabled for the limiter. Its text, and the text of the
// error after a wait that timed out, are those of release 0.8.0, which docs/operators/restarts.md quotes.
var errRestartSlotsDisabled = errors.New("turn: the limiter gives no turns; the operators' file sets them")

func restartSlotCommand() *cli.Command {
	return &cli.Command{
		Name:    "restart-slot",
		Aliases: []string{"turn"},
		Usage:   "wait until a limiter is granted a restart slot: a few restart at once, never all limiters of a customer",
		Flags: []cli.Flag{
			adminAddressFlag(),
			&cli.DurationFlag{Name: "wait", Usage: "wait for `DURATION` at most", Value: defaultRestartSlotWait},
			&cli.BoolFlag{Name: "back", Usage: "release the limiter's slot, or withdraw its request for one"},
			&cli.UintFlag{Name: "forget", Usage: "release the slot of limiter `N`, which is down and will not come back"},
		},
		Action: restartSlot,
	}
}

// restartSlot waits for a restart slot, or releases one.
func restartSlot(ctx context.Context, cmd *cli.Command) error {
	address := cmd.String("console")
	switch {
	case cmd.IsSet("forget"):
		_, err := callRestartSlot(ctx, http.MethodPost, address, fmt.Sprintf("/turn?forget=%d", cmd.Uint("forget")))
		return err
	case cmd.Bool("back"):
		_, err := callRestartSlot(ctx, http.MethodDelete, address, "/turn")
		return err
	}
	return waitForRestartSlot(ctx, address, cmd.Duration("wait"), cmd.Root().Writer)
}

// waitForRestartSlot requests a slot and polls the limiter until it has the slot, then prints for how long the slot is
// valid. It withdraws a request that was not granted in time.
func waitForRestartSlot(ctx context.Context, address string, wait time.Duration, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		view, err := pollRestartSlot(ctx, address)
		if err != nil && ctx.Err() == nil {
			return err
		}
		if err == nil && view.Granted {
			_, err := fmt.Fprintf(out, "restart within %v; out as well: %v\n", view.ValidFor.Round(time.Millisecond), view.Restarting)
			return err
		}
		select {
		case <-ctx.Done():
			withdrawRestartSlot(address)
			return fmt.Errorf("turn: none came in %v; out: %v, given by limiter %d. %s",
				wait, view.Restarting, view.Coordinator, view.Reason)
		case <-time.After(restartSlotPollInterval):
		}
	}
}

// pollRestartSlot returns the restart slots as the limiter reports them. It requests one if the limiter has neither a slot
// nor a request.
func pollRestartSlot(ctx context.Context, address string) (core.RestartSlotView, error) {
	view, err := callRestartSlot(ctx, http.MethodGet, address, "/turn")
	if err == nil && !view.Granted && !view.Wanted {
		_, err = callRestartSlot(ctx, http.MethodPost, address, "/turn")
	}
	return view, err
}

// withdrawRestartSlot withdraws a request after the wait for it has ended.
func withdrawRestartSlot(address string) {
	// the caller reports that no slot was granted in time
	_, _ = callRestartSlot(context.Background(), http.MethodDelete, address, "/turn")
}

// callRestartSlot calls an administration server about restart slots.
func callRestartSlot(ctx context.Context, method, address, path string) (core.RestartSlotView, error) {
	var view core.RestartSlotView
	_, err := callAdmin(ctx, method, address, path, &view)
	var failed *statusError
	if errors.As(err, &failed) && failed.Code == http.StatusNotFound {
		return view, errRestartSlotsDisabled
	}
	return view, err
}
