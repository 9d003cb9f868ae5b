package main

import (
	"context"
	"encoding/json"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"opalbridge.dev/explain"
)

func accountingCommand() *cli.Command {
	return &cli.Command{
		Name:      "account",
		Usage:     "count from log lines what callers got",
		ArgsUsage: "[FILE...]",
		Description: "Examples:\n  opalbridge account --by account gateway-1.log gateway-2.log\n  cat *.log | opalbridge account --json\n\n" +
			"Reads the files, or standard input. Callers count where they tried first.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "by", Value: "route", Usage: "`VIEW` of the table: route, account, hall, server or second"},
			&cli.BoolFlag{Name: "json", Usage: "write all views as JSON"},
			&cli.StringFlag{Name: "plot", Usage: "also draw callers and refusals by second into a PNG `FILE`"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			logs, closeLogs, err := openLogs(c.Args().Slice(), c.Root().Reader)
			defer closeLogs()
			if err != nil {
				return usageError(errors.Wrap(err, "account"))
			}
			a, err := explain.ReadAccounting(logs...)
			if err != nil {
				return err
			}
			if file := c.String("plot"); file != "" {
				if err := a.Plot(file); err != nil {
					return err
				}
			}
			if c.Bool("json") {
				e := json.NewEncoder(c.Root().Writer)
				e.SetIndent("", "  ")
				return e.Encode(a)
			}
			return a.Table(c.Root().Writer, c.String("by"))
		},
	}
}

// openLogs opens the named log files, or returns stdin if no file is named. closeLogs is
// never nil.
func openLogs(names []string, stdin io.Reader) (logs []io.Reader, closeLogs func(), err error) {
	var files []*os.File
	closeLogs = func() {
		for _, f := range files {
			f.Close() // read only, so an error loses nothing
		}
	}
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			return nil, closeLogs, err
		}
		files = append(files, f)
		logs = append(logs, f)
	}
	if len(logs) == 0 {
		logs = append(logs, stdin)
	}
	return logs, closeLogs, nil
}
