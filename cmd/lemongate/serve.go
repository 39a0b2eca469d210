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
	// heapFraction is the fraction of the memory limit that the Go heap may use; the rest is for stacks, the
	// program itself and buffers of the operating system.
	heapFraction = 0.7
	// programMemory is the memory of the program itself, its text and that of the C library, which is not part of the heap.
	programMemory = 15 << 20
	// minHeap is the least limit of the Go heap, however low the memory limit is.
	minHeap = 8 << 20
	// clockRateVariable is the environment variable with which the process harness makes the clock
	// of a limiter run faster or slower than the machine's.
	clockRateVariable = "LEMONGATE_LAB_CLOCK"
	// minClockRate and maxClockRate bound the value of clockRateVariable.
	minClockRate, maxClockRate = 0.1, 10
)

func serveCommand() *cli.Command {
	level := &cli.StringFlag{
		Name: "log-level", Value: "info", Usage: "minimum `LEVEL` of the log lines: debug, info, warn or error",
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
	conf, err := loadConfig(clock.Origin(), cmd.String("operator"))
	if err != nil {
		return err
	}
	limitRuntime(conf.Limits, 1)
	return eventloop.Run(conf, clock, log, eventloop.Controls{
		Dump: dump, Stop: stop, Reload: reload,
		SetResourceFraction: func(fraction float64) { limitRuntime(conf.Limits, fraction) },
		LoadConfig:          func() (*config.Config, error) { return config.Reload(os.Getenv, clock.Origin()) },
	})
}

// notify returns a channel that receives the given signals. It holds one signal; further ones are dropped until that
// one is received.
func notify(signals ...os.Signal) chan os.Signal {
	pending := make(chan os.Signal, 1)
	signal.Notify(pending, signals...)
	return pending
}

// loadConfig reads the platform's configuration, and the operators' file unless its path is empty. The program's clock
// was at zero at the real time origin.
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

// parseClockRate parses the rate of the program's clock relative to the machine's. An empty text means 1.
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

// limitRuntime limits the Go runtime to a fraction of the platform's memory limit, and to its limit of cores. A limit
// of zero means that there is none.
func limitRuntime(limits config.Limits, memoryFraction float64) {
	if limits.Cores > 0 {
		runtime.GOMAXPROCS(max(int(limits.Cores), 1))
	}
	if limits.MemoryMB > 0 {
		memory := float64(limits.MemoryMB<<20) * memoryFraction
		heap := min(memory*heapFraction, memory-programMemory)
		debug.SetMemoryLimit(int64(max(heap, minHeap)))
	}
}

// newLogger returns a logger that writes lines of at least the given level to standard error as JSON.
func newLogger(level string) (*zap.Logger, error) {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log-level: %w", err)
	}
	logConfig := zap.NewProductionConfig()
	logConfig.Level = zap.NewAtomicLevelAt(minLevel)
	logConfig.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	logConfig.DisableStacktrace = true
	log, err := logConfig.Build()
	if err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	return log, nil
}
