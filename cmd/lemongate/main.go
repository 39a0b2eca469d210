// Command lemongate is a limiter on real sockets: it takes reqs in, has the
// lemongate module decide which go on to which backend, and answers them.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"lemongate/internal/config"
	"lemongate/internal/eventloop"
)

// release is the version told by the version command; CHANGELOG.md says what
// is in it.
const release = "0.8.0"

// memoryPart is the part of the memory limit that the Go heap is held to; the
// rest is for stacks, the program itself and what the system keeps for it.
const memoryPart = 0.7

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "lemongate:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	level := &cli.StringFlag{
		Name: "log-level", Value: "info", Usage: "least level of the log lines: debug, info, warn or error",
	}
	operator := &cli.StringFlag{
		Name: "operator", Usage: "JSON `FILE` of the operators: what is off without it, see docs/operators",
	}
	return &cli.Command{
		Name:  "lemongate",
		Usage: "share sending among request classes and hold quotas over all limiters",
		Commands: []*cli.Command{
			{
				Name: "serve", Usage: "serve until SIGTERM; SIGHUP reads the configuration again, SIGUSR1 prints the counters",
				Flags: []cli.Flag{level, operator}, Action: serve,
			},
			{
				Name: "check", Usage: "read the configuration, tell what it says, and exit",
				Flags: []cli.Flag{operator}, Action: check,
			},
			{
				Name: "leases", Usage: "ask a running limiter how the tasks stand that one limiter does at a time",
				Flags: []cli.Flag{
					&cli.StringFlag{
						Name: "console", Usage: "the limiter's console `ADDRESS`", Required: true, Sources: cli.EnvVars("ROUTER_CONSOLE"),
					},
					&cli.BoolFlag{Name: "json", Usage: "as JSON"},
				},
				Action: leases,
			},
			{
				Name: "turn", Usage: "wait until a limiter may restart: at most so many at once, never all that hold a customer",
				Flags: []cli.Flag{
					&cli.StringFlag{
						Name: "console", Usage: "the limiter's console `ADDRESS`", Required: true, Sources: cli.EnvVars("ROUTER_CONSOLE"),
					},
					&cli.DurationFlag{Name: "wait", Usage: "for so long at most", Value: 10 * time.Minute},
					&cli.BoolFlag{Name: "back", Usage: "give the turn back, or want none any longer"},
					&cli.UintFlag{Name: "forget", Usage: "limiter `N` is out and will not come back: free its place"},
				},
				Action: turn,
			},
			{
				Name: "use", Usage: "join the files of the fleet's use, and tell what is missing, in doubt or twice", ArgsUsage: "FILE...",
				Flags:  []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "as JSON"}},
				Action: use,
			},
			{Name: "schema", Usage: "print the JSON schema of the operators' file", Action: operatorSchema},
			{Name: "version", Usage: "print the version", Action: version},
		},
	}
}

func serve(_ context.Context, cmd *cli.Command) error {
	// Each holds one signal: one more of a kind that still waits tells nothing new.
	dump, stop, reload := make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(dump, syscall.SIGUSR1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)

	log, err := logger(cmd.String("log-level"))
	if err != nil {
		return err
	}
	rate, err := clockRate(os.Getenv("LEMONGATE_LAB_CLOCK"))
	if err != nil {
		return err
	}
	clock := eventloop.NewClock(rate)
	c, err := config.Load(os.Getenv, clock.Zero())
	if err != nil {
		return err
	}
	if err := c.LoadOperator(cmd.String("operator")); err != nil {
		return err
	}
	limit(c.Limits, 1)
	return eventloop.Run(c, clock, log, eventloop.Controls{
		Dump: dump, Stop: stop, Reload: reload,
		Share: func(part float64) { limit(c.Limits, part) },
		Load:  func() (*config.Config, error) { return config.Reload(os.Getenv, clock.Zero()) },
	})
}

// clockRate is how fast the program's clock runs: as the machine's, unless the lab says otherwise.
func clockRate(text string) (float64, error) {
	if text == "" {
		return 1, nil
	}
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || rate < 0.1 || rate > 10 {
		return 0, fmt.Errorf("LEMONGATE_LAB_CLOCK: want a rate from 0.1 to 10, got %q", text)
	}
	return rate, nil
}

// limit keeps the runtime within a part of what the platform gives.
func limit(l config.Limits, part float64) {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(max(int(l.Cores), 1))
	}
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(l.MemoryMB<<20) * memoryPart * part))
	}
}

func logger(level string) (*zap.Logger, error) {
	c := zap.NewProductionConfig()
	at, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log-level: %w", err)
	}
	c.Level = zap.NewAtomicLevelAt(at)
	c.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	c.DisableStacktrace = true
	log, err := c.Build()
	if err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	return log, nil
}

func check(_ context.Context, cmd *cli.Command) error {
	c, err := config.Load(os.Getenv, eventloop.NewClock(1).Zero())
	if err != nil {
		return err
	}
	if err := c.LoadOperator(cmd.String("operator")); err != nil {
		return err
	}
	fmt.Fprintf(cmd.Root().Writer, "%s: limiter %d of %d, %d classes, %d plans, %d known backends\n",
		c.Name, c.Settings.Self, c.Settings.Limiters, len(c.Settings.Classes), len(c.Settings.Plans), len(c.KnownEndpoints))
	return nil
}

func operatorSchema(_ context.Context, cmd *cli.Command) error {
	_, err := cmd.Root().Writer.Write(config.OperatorSchema())
	return err
}

func version(_ context.Context, cmd *cli.Command) error {
	fmt.Fprintf(cmd.Root().Writer, "lemongate %s (%s)\n", release, runtime.Version())
	return nil
}
