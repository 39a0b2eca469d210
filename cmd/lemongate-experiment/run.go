package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
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

// errVerdictBroken makes the program exit with code 1 and print no error, because the verdict "broken" was printed.
var errVerdictBroken = errors.New("broken")

const (
	// maxSeeds is the largest number of seeds that one command may run.
	maxSeeds = 100_000
	// maxBreachesShown is the largest number of breaches that are printed for each case, or each seed of a soak.
	maxBreachesShown = 3
)

// runCommand runs an experiment.
func runCommand() *cli.Command {
	return &cli.Command{
		Name:      "run",
		Usage:     "run an experiment and print the verdict",
		ArgsUsage: "FILE.json",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "run this seed only"},
			&cli.StringFlag{Name: "seeds", Usage: "run the seeds `N..M`"},
			&cli.StringFlag{Name: "json", Usage: "write the outcomes to `FILE`"},
			&cli.BoolFlag{Name: "processes", Usage: "run on processes of the limiter program, in real time"},
			&cli.IntFlag{Name: "at-once", Usage: "with --processes, execute `N` runs at once", Value: 1},
			programFlag(),
		},
		Action: run,
	}
}

// seedRange holds the first and the last seed to run.
type seedRange struct{ first, last uint64 }

// run runs the experiment that a command names, and prints its outcomes.
func run(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return errors.New("run: want exactly one experiment file as the argument")
	}
	e, err := readExperiment(cmd.Args().First())
	if err != nil {
		return err
	}
	seeds, err := parseSeeds(cmd, e)
	if err != nil {
		return err
	}
	outcomes, err := runExperiment(ctx, cmd, e, seeds)
	if err != nil {
		return err
	}
	out := cmd.Root().Writer
	printf(out, "%s, seeds %d to %d\n%s\n", e.Name, seeds.first, seeds.last, experiment.Table(outcomes))
	printFailures(out, outcomes)
	verdict, held := experiment.Verdict(outcomes)
	if path := cmd.String("json"); path != "" {
		if err := writeReport(path, e, seeds, outcomes, verdict); err != nil {
			return fmt.Errorf("json: %w", err)
		}
	}
	printf(out, "%s\n", verdict)
	if !held {
		return errVerdictBroken
	}
	return nil
}

func readExperiment(path string) (*experiment.Experiment, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	e, err := experiment.Parse(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return e, nil
}

// parseSeeds returns the seeds that the flags name, by default those of the experiment.
func parseSeeds(cmd *cli.Command, e *experiment.Experiment) (seedRange, error) {
	if cmd.IsSet("seed") && cmd.IsSet("seeds") {
		return seedRange{}, errors.New("seed, seeds: only one of the two may be set")
	}
	if cmd.IsSet("seed") {
		return seedRange{cmd.Uint64("seed"), cmd.Uint64("seed")}, nil
	}
	if text := cmd.String("seeds"); text != "" {
		return parseSeedRange(text)
	}
	return seedRange{1, uint64(max(e.Seeds, 1))}, nil
}

// parseSeedRange parses N..M, a range of at most maxSeeds seeds.
func parseSeedRange(text string) (seedRange, error) {
	firstText, lastText, _ := strings.Cut(text, "..")
	first, firstErr := strconv.ParseUint(firstText, 10, 64)
	last, lastErr := strconv.ParseUint(lastText, 10, 64)
	if firstErr != nil || lastErr != nil || last < first || last-first >= maxSeeds {
		return seedRange{}, fmt.Errorf("seeds: want N..M with M at least N and at most 100000 seeds, got %q", text)
	}
	return seedRange{first, last}, nil
}

// runExperiment runs an experiment in virtual time or on processes, as the flags say. On processes it runs only the
// first seed, unless a flag names seeds.
func runExperiment(ctx context.Context, cmd *cli.Command, e *experiment.Experiment, seeds seedRange) ([]experiment.Outcome, error) {
	if !cmd.Bool("processes") {
		return e.Run(seeds.first, seeds.last), nil
	}
	program, err := limiterProgram(cmd)
	if err != nil {
		return nil, err
	}
	if !cmd.IsSet("seeds") && !cmd.IsSet("seed") {
		seeds.last = seeds.first
	}
	if err := e.CheckSupported(processharness.CheckSupported); err != nil {
		return nil, err
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	h := newHost(cmd.Root().Writer)
	var outcomes []experiment.Outcome
	err = h.run(ctx, func() error {
		outcomes = e.RunWith(seeds.first, seeds.last, processRunner(h, program), max(cmd.Int("at-once"), 1))
		return nil
	})
	return outcomes, err
}

// processRunner returns a RunFunc that runs a scenario on processes of the limiter program. They end with the run.
func processRunner(h *host, program string) experiment.RunFunc {
	return func(sc simulation.Scenario, seed uint64) simulation.Result {
		child := h.newChild()
		defer child.end()
		return processharness.RunScenario(child, sc, seed, program, "serve", "--log-level", "error")
	}
}

// printFailures prints, for each case, the bounds that were missed, and the first breach of each of its first runs that
// broke a rule.
func printFailures(out io.Writer, outcomes []experiment.Outcome) {
	for _, o := range outcomes {
		for _, line := range o.Missed {
			printf(out, "%s: missed: %s\n", o.Case, line)
		}
		for _, line := range o.Broken[:min(len(o.Broken), maxBreachesShown)] {
			printf(out, "%s: broken: %s\n", o.Case, line)
		}
	}
}

// report is the content of the file that --json writes.
type report struct {
	Experiment string               `json:"experiment"`
	First      uint64               `json:"first_seed"`
	Last       uint64               `json:"last_seed"`
	Build      string               `json:"build"`
	Machine    string               `json:"machine"`
	Outcomes   []experiment.Outcome `json:"outcomes"`
	Verdict    string               `json:"verdict"`
}

func writeReport(path string, e *experiment.Experiment, seeds seedRange, outcomes []experiment.Outcome, verdict string) error {
	data, err := json.MarshalIndent(report{
		Experiment: e.Name,
		First:      seeds.first,
		Last:       seeds.last,
		Build:      buildRevision(),
		Machine:    fmt.Sprintf("%s/%s, %d cores", runtime.GOOS, runtime.GOARCH, runtime.NumCPU()),
		Outcomes:   outcomes,
		Verdict:    verdict,
	}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}

// buildRevision returns the revision of the source that the program was built from, with a + if it was modified.
func buildRevision() string {
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
