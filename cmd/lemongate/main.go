// Command lemongate runs a limiter on real sockets: it receives requests of clients, sends them to backends as
// internal/core decides, and returns the responses. Further subcommands read the configuration, call the
// administration server of a running limiter, and merge usage files.
//
// Each subcommand has a file of its own, except schema and version.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime"

	"github.com/urfave/cli/v3"

	"lemongate/internal/config"
)

// release is the version that the version command prints. CHANGELOG.md describes it.
const release = "0.9.4"

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "lemongate:", err) // the exit code reports the failure too
		os.Exit(1)
	}
}

// command returns the root command with all subcommands and their flags.
func command() *cli.Command {
	return &cli.Command{
		Name:  "lemongate",
		Usage: "forward requests by class and weight, and enforce customers' quotas over all limiters",
		Commands: []*cli.Command{
			serveCommand(),
			checkCommand(),
			leasesCommand(),
			restartSlotCommand(),
			usageCommand(),
			{Name: "schema", Usage: "print the JSON schema of the operators' file", Action: printOperatorSchema},
			{Name: "version", Usage: "print the version", Action: printVersion},
		},
	}
}

// operatorFlag returns the flag for the path of the operators' file.
func operatorFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "operator", Usage: "operators' JSON `FILE`, see docs/operators; features that it enables are off without it",
	}
}

// adminAddressFlag returns the flag for the address of a limiter's administration server.
func adminAddressFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "console", Usage: "`ADDRESS` of the limiter's administration server", Required: true,
		Sources: cli.EnvVars("ROUTER_CONSOLE"),
	}
}

// jsonFlag returns the flag that selects JSON instead of a table.
func jsonFlag() cli.Flag { return &cli.BoolFlag{Name: "json", Usage: "print JSON"} }

func printOperatorSchema(_ context.Context, cmd *cli.Command) error {
	_, err := cmd.Root().Writer.Write(config.OperatorSchema())
	return err
}

func printVersion(_ context.Context, cmd *cli.Command) error {
	_, err := fmt.Fprintf(cmd.Root().Writer, "lemongate %s (%s)\n", release, runtime.Version())
	return err
}
