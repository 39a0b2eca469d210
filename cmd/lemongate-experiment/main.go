// Command lemongate-experiment runs experiments on lemongate: tiers of real limiters in virtual time or as
// processes, with scheduled faults, and a verdict at the end.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"lemongate/internal/experiment"
)

func main() {
	err := command().Run(context.Background(), os.Args)
	if err == nil {
		return
	}
	if !errors.Is(err, errVerdictBroken) {
		fmt.Fprintln(os.Stderr, "lemongate-experiment:", err)
	}
	os.Exit(1)
}

// command returns the command line of the program.
func command() *cli.Command {
	return &cli.Command{
		Name:     "lemongate-experiment",
		Usage:    "run experiments on lemongate",
		Commands: []*cli.Command{runCommand(), soakCommand(), demoCommand(), schemaCommand()},
	}
}

// schemaCommand prints the JSON schema of an experiment.
func schemaCommand() *cli.Command {
	return &cli.Command{
		Name:  "schema",
		Usage: "print the JSON schema of an experiment",
		Action: func(_ context.Context, cmd *cli.Command) error {
			_, err := cmd.Root().Writer.Write(experiment.Schema)
			return err
		},
	}
}

// printf prints to out. It ignores write errors, because there is nowhere to report them.
func printf(out io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(out, format, args...) }

// programFlag is the flag for the path of the limiter program.
func programFlag() cli.Flag {
	return &cli.StringFlag{Name: "program", Usage: "the limiter program's `FILE`; by default lemongate beside this program"}
}
