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

const (
	// heapFraction is the fraction of the memory limit that the Go heap may use; the rest is for
	// stacks, the program itself and buffers of the system.
	heapFraction = 0.7
	// clockRateVariable is the environment variable with which the process harness makes the clock
	// of a limiter run faster or slower than the machine's.
	clockRateVariable = "LEMONGATE_LAB_CLOCK"
	// minClockRate and maxClockRate bound the value of clockRateVariable.
	minClockRate, maxClockRate = 0.1, 10
)

func serveCommand() *cli.Command {
	level := &cli.StringFlag{
		Name: "log-level", Value: "info", Usage: "least `LEVEL` of the log lines: debug, info, warn or error",
	}
	return &cli.Command{
		Name:   "serve",
		Usage:  "run the limiter until SIGTERM; SIGHUP reloads the address of discovery from the configuration, SIGUSR1 logs the counters",
		Flags:  []cli.Flag{level, operatorFlag()},
		Action: serve,
	}
}

// serve runs the limiter until a signal ends it.
func serve(_ context.Context, cmd *cli.Command) error {
	dump := notify(syscall.SIGUSR1)
	stop := notify(syscall.SIGTERM, syscall.SIGINT)
	reload := notify(syscall.SIGHUP)

	log, err := newLogger(cmd.String("log-level"))
	if err != nil {
		return err
	}
	rate, err := parseClockRate(os.Getenv(clockRateVariable))
	if err != nil {
		return err
	}
	clock := eventloop.NewClock(rate)
	conf, err := loadConfig(clock.Zero(), cmd.String("operator"))
	if err != nil {
		return err
	}
	limitRuntime(conf.Limits, 1)
	return eventloop.Run(conf, clock, log, eventloop.Controls{
		Dump: dump, Stop: stop, Reload: reload,
		SetResourceShare: func(fraction float64) { limitRuntime(conf.Limits, fraction) },
		Load:             func() (*config.Config, error) { return config.Reload(os.Getenv, clock.Zero()) },
	})
}

// notify returns a channel of the given signals, which holds one: while it is pending, further ones are
// dropped.
func notify(signals ...os.Signal) chan os.Signal {
	pending := make(chan os.Signal, 1)
	signal.Notify(pending, signals...)
	return pending
}

// loadConfig reads the platform's configuration, and the operators' file unless its path is empty. Origin is
// the Unix time at which the program's clock was at zero.
func loadConfig(origin time.Time, operatorPath string) (*config.Config, error) {
	conf, err := config.Load(os.Getenv, origin)
	if err != nil {
		return nil, err
	}
	if err := conf.LoadOperator(operatorPath); err != nil {
		return nil, err
	}
	return conf, nil
}

// parseClockRate reads how fast the program's clock runs, relative to the machine's: 1 for an empty
// text.
func parseClockRate(text string) (float64, error) {
	if text == "" {
		return 1, nil
	}
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || rate < minClockRate || rate > maxClockRate {
		return 0, fmt.Errorf("%s: want a rate from %g to %g, got %q", clockRateVariable, minClockRate, float64(maxClockRate), text)
	}
	return rate, nil
}

// limitRuntime keeps the Go runtime within a fraction of the platform's memory limit, and within its
// limit of cores. A limit of zero is none.
func limitRuntime(limits config.Limits, memoryFraction float64) {
	if limits.Cores > 0 {
		runtime.GOMAXPROCS(max(int(limits.Cores), 1))
	}
	if limits.MemoryMB > 0 {
		limit := float64(limits.MemoryMB<<20) * heapFraction * memoryFraction
		debug.SetMemoryLimit(int64(limit))
	}
}

// newLogger returns a logger of JSON lines on standard error, from a least level on.
func newLogger(level string) (*zap.Logger, error) {
	least, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log-level: %w", err)
	}
	logConfig := zap.NewProductionConfig()
	logConfig.Level = zap.NewAtomicLevelAt(least)
	logConfig.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	logConfig.DisableStacktrace = true
	log, err := logConfig.Build()
	if err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	return log, nil
}
