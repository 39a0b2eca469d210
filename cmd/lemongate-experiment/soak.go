package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"lemongate/internal/soak"
)

// soakCommand runs limiters as processes under signals, crashes and faults drawn from a seed.
func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run limiters as processes under signals, crashes and faults drawn from a seed",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "run this seed only", Value: 1},
			&cli.StringFlag{Name: "seeds", Usage: "run the seeds `N..M`"},
			&cli.DurationFlag{Name: "duration", Usage: "of each run", Value: 20 * time.Second},
			&cli.BoolFlag{Name: "schedule", Usage: "print the steps of each seed"},
			programFlag(),
		},
		Action: runSoak,
	}
}

// runSoak runs the seeds one after another, and prints a line for each and a verdict.
func runSoak(ctx context.Context, cmd *cli.Command) error {
	seeds := seedRange{cmd.Uint64("seed"), cmd.Uint64("seed")}
	if text := cmd.String("seeds"); text != "" {
		var err error
		if seeds, err = parseSeedRange(text); err != nil {
			return err
		}
	}
	program, err := limiterProgram(cmd)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	h := newHost(cmd.Root().Writer)
	broken := 0
	err = h.run(ctx, func() error {
		for seed := seeds.first; seed <= seeds.last; seed++ {
			broken += runSoakSeed(cmd, h, seed, program)
		}
		return nil
	})
	if err != nil {
		return err
	}
	if broken > 0 {
		printf(cmd.Root().Writer, "verdict: broken: %d of %d seeds\n", broken, seeds.last-seeds.first+1)
		return errVerdictBroken
	}
	printf(cmd.Root().Writer, "verdict: held\n")
	return nil
}

// runSoakSeed runs a seed and prints its result. It returns 1 if a rule was broken or the host failed, otherwise 0.
func runSoakSeed(cmd *cli.Command, h *host, seed uint64, program string) (broken int) {
	out, duration := cmd.Root().Writer, cmd.Duration("duration")
	if cmd.Bool("schedule") {
		for _, step := range soak.Schedule(seed, duration) {
			printf(out, "%v\n", step)
		}
	}
	child := h.newChild()
	defer child.end()
	result := soak.Run(child, seed, duration, program, "serve", "--log-level", "info")
	printf(out, "seed %d: %d requests, %d served, %d restarts (%d hot), %d killed while they shut down, %d clients disconnected, %d long attempts, %d rules broken\n",
		seed, result.Requests, result.Served, result.Restarts, result.HotRestarts, result.Killed, result.Disconnected, result.LongAttempts, len(result.Breaches))
	for _, breach := range result.Breaches[:min(len(result.Breaches), maxBreachesShown)] {
		printf(out, "  %s\n", breach)
	}
	if len(result.Breaches) > 0 || child.Failed() {
		return 1
	}
	return 0
}
