// Command lemongate-experiment plays experiments on lemongate: tiers of real limiters in
// virtual time, with what goes wrong by schedule, and a verdict at the end.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"

	"github.com/urfave/cli/v3"

	"lemongate/internal/experiment"
	"lemongate/internal/processharness"
	"lemongate/internal/simulation"
)

// errBroken ends the program with exit code 1 after the verdict was printed.
var errBroken = errors.New("broken")

func main() {
	err := command().Run(context.Background(), os.Args)
	if err != nil && !errors.Is(err, errBroken) {
		fmt.Fprintln(os.Stderr, "lemongate-experiment:", err)
	}
	if err != nil {
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name: "lemongate-experiment", Usage: "play experiments on lemongate",
		Commands: []*cli.Command{
			{
				Name: "run", Usage: "play an experiment and tell the verdict", ArgsUsage: "FILE.json",
				Flags: []cli.Flag{
					&cli.Uint64Flag{Name: "seed", Usage: "play this seed alone"},
					&cli.StringFlag{Name: "seeds", Usage: "play the seeds `N..M`"},
					&cli.StringFlag{Name: "json", Usage: "keep the outcomes in `FILE`"},
					&cli.BoolFlag{Name: "processes", Usage: "on processes of the program, in real time"},
					&cli.IntFlag{Name: "at-once", Usage: "with --processes, play `N` runs beside each other", Value: 1},
					&cli.StringFlag{Name: "program", Usage: "the limiter's `FILE`; by default lemongate beside this program"},
				},
				Action: run,
			},
			townCommand(),
			{
				Name: "schema", Usage: "print the JSON schema of an experiment",
				Action: func(_ context.Context, cmd *cli.Command) error {
					_, err := cmd.Root().Writer.Write(experiment.Schema)
					return err
				},
			},
		},
	}
}

// report is what --json keeps.
type report struct {
	Experiment string               `json:"experiment"`
	First      uint64               `json:"first_seed"`
	Last       uint64               `json:"last_seed"`
	Build      string               `json:"build"`
	Machine    string               `json:"machine"`
	Outcomes   []experiment.Outcome `json:"outcomes"`
	Verdict    string               `json:"verdict"`
}

func run(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return errors.New("run: one experiment file is wanted")
	}
	path := cmd.Args().First()
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	x, err := experiment.Parse(data)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	first, last, err := seeds(cmd, x)
	if err != nil {
		return err
	}
	var list []experiment.Outcome
	if cmd.Bool("processes") {
		list, err = onProcesses(ctx, cmd, x, first, last)
	} else {
		list = x.Run(first, last)
	}
	if err != nil {
		return err
	}
	verdict, held := experiment.Verdict(list)
	out := cmd.Root().Writer
	fmt.Fprintf(out, "%s, seeds %d to %d\n%s\n", x.Name, first, last, experiment.Table(list))
	for _, o := range list {
		for _, line := range o.Missed {
			fmt.Fprintf(out, "%s: missed: %s\n", o.Case, line)
		}
		for _, line := range o.Broken[:min(len(o.Broken), 3)] {
			fmt.Fprintf(out, "%s: broken: %s\n", o.Case, line)
		}
	}
	if path := cmd.String("json"); path != "" {
		r := report{
			Experiment: x.Name, First: first, Last: last, Build: build(), Outcomes: list, Verdict: verdict,
			Machine: fmt.Sprintf("%s/%s, %d cores", runtime.GOOS, runtime.GOARCH, runtime.NumCPU()),
		}
		data, err := json.MarshalIndent(r, "", "  ")
		if err != nil {
			return fmt.Errorf("json: %w", err)
		}
		if err := os.WriteFile(path, append(data, '\n'), 0o644); err != nil {
			return fmt.Errorf("json: %w", err)
		}
	}
	fmt.Fprintln(out, verdict)
	if !held {
		return errBroken
	}
	return nil
}

// onProcesses plays an experiment on processes. Without a word on seeds it plays one.
func onProcesses(ctx context.Context, cmd *cli.Command, x *experiment.Experiment, first, last uint64) (list []experiment.Outcome, err error) {
	program, err := limiterProgram(cmd)
	if err != nil {
		return nil, err
	}
	if !cmd.IsSet("seeds") && !cmd.IsSet("seed") {
		last = first
	}
	if err := x.Playable(processharness.Plays); err != nil {
		return nil, err
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	h := newHost(cmd.Root().Writer)
	err = h.run(ctx, func() error {
		list = x.RunOn(first, last, func(sc simulation.Scenario, seed uint64) simulation.Result {
			in := h.within()
			defer in.end()
			return processharness.Play(in, sc, seed, program, "serve", "--log-level", "error")
		}, max(cmd.Int("at-once"), 1))
		return nil
	})
	return list, err
}

// seeds are the first and the last seed to be played.
func seeds(cmd *cli.Command, x *experiment.Experiment) (first, last uint64, err error) {
	if cmd.IsSet("seed") && cmd.IsSet("seeds") {
		return 0, 0, errors.New("seed, seeds: only one of the two")
	}
	if cmd.IsSet("seed") {
		return cmd.Uint64("seed"), cmd.Uint64("seed"), nil
	}
	if text := cmd.String("seeds"); text != "" {
		from, to, _ := strings.Cut(text, "..")
		first, err1 := strconv.ParseUint(from, 10, 64)
		last, err2 := strconv.ParseUint(to, 10, 64)
		if err1 != nil || err2 != nil || last < first || last-first >= 100_000 {
			return 0, 0, fmt.Errorf("seeds: want N..M, got %q", text)
		}
		return first, last, nil
	}
	return 1, uint64(max(x.Seeds, 1)), nil
}

// build tells which version of the sources this is.
func build() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	revision := "unknown"
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			revision += "+"
		}
	}
	return revision
}
