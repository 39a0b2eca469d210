package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"lemongate/internal/eventloop"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:   "check",
		Usage:  "read the configuration, print a summary of it, and exit",
		Flags:  []cli.Flag{operatorFlag()},
		Action: check,
	}
}

// check reads the configuration in the same way as serve.
func check(_ context.Context, cmd *cli.Command) error {
	conf, err := loadConfig(eventloop.NewClock(1).Origin(), cmd.String("operator"))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(cmd.Root().Writer, "%s: limiter %d of %d, %d classes, %d plans, %d known backends\n",
		conf.Name, conf.Settings.Self, conf.Settings.Limiters,
		len(conf.Settings.Classes), len(conf.Settings.Plans), len(conf.KnownEndpoints))
	return err
}
