package main

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"opalbridge.dev/explain"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "tell a request's story from log lines",
		ArgsUsage: "REQUEST [FILE...]",
		Description: "Examples:\n  opalbridge explain 9c41d07be2a35f68 gateway-1.log gateway-2.log\n  cat *.log | opalbridge explain 9c41d07be2a35f68\n\n" +
			"Reads the files, or standard input. Lines marked with a dot are beliefs of the gateways that had the request.",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() < 1 {
				return usageError(errors.New("explain: name a request"))
			}
			logs, closeLogs, err := openLogs(c.Args().Tail(), c.Root().Reader)
			defer closeLogs()
			if err != nil {
				return usageError(errors.Wrap(err, "explain"))
			}
			return explain.Story(c.Root().Writer, c.Args().First(), logs...)
		},
	}
}
