package main

import (
	"context"
	"fmt"
	"os"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"opalbridge.dev/config"
	"opalbridge.dev/settings"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a settings file and print every fault with its line",
		ArgsUsage: "FILE",
		Description: "Examples:\n  opalbridge check --role router router.yaml\n  opalbridge check --role agent agent.yaml\n" +
			"  opalbridge check --role router --reference   (prints every key with its default)\n\nExit code 0: right; 2: faults.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "role", Usage: "router, agent or gateway", Value: string(settings.Router)},
			&cli.BoolFlag{Name: "reference", Usage: "print the reference of all keys as Markdown"},
		},
		Action: check,
	}
}

func check(_ context.Context, c *cli.Command) error {
	role := settings.Role(c.String("role"))
	if !slices.Contains(settings.Roles, role) {
		return usageError(errors.Newf("check: --role %q is none of %v", role, settings.Roles))
	}
	if c.Bool("reference") {
		printReference(c, role)
		return nil
	}
	if c.Args().Len() != 1 {
		return usageError(errors.New("check: name one settings file"))
	}
	if _, err := readSettings(role, c.Args().First()); err != nil {
		return err
	}
	fmt.Fprintf(c.Root().Writer, "%s: right\n", c.Args().First())
	return nil
}

func readSettings(role settings.Role, file string) (*settings.Settings, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, usageError(err)
	}
	s, err := settings.Parse(role, content)
	if err != nil {
		return nil, usageError(errors.Newf("%s: %v", file, err))
	}
	return s, nil
}

func printReference(c *cli.Command, role settings.Role) {
	w := c.Root().Writer
	fmt.Fprintf(w, "| key of a %s | default | meaning |\n| --- | --- | --- |\n", role)
	for _, f := range settings.Fields(role) {
		d := f.Default
		if f.Required {
			d = "(required)"
		}
		fmt.Fprintf(w, "| `%s` | %s | %s |\n", f.Key, d, f.Doc)
	}
}

func hashCommand() *cli.Command {
	return &cli.Command{
		Name:      "hash",
		Usage:     "print the hash of an operators' token, for settings files",
		ArgsUsage: "TOKEN",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return usageError(errors.New("hash: name one token"))
			}
			fmt.Fprintln(c.Root().Writer, config.HashKey(c.Args().First()))
			return nil
		},
	}
}
