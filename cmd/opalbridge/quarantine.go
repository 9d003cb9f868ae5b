package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"opalbridge.dev/gateway/quarantine"
	"opalbridge.dev/platform"
)

// quarantineTimeout limits all store calls of a command. The platform's store answers within
// milliseconds, a page of a list within a second.
const quarantineTimeout = 5 * time.Second

func quarantineCommand() *cli.Command {
	store := &cli.StringFlag{Name: "store", Usage: "`ADDRESS` of the platform's store, as in the gateways' settings"}
	return &cli.Command{
		Name:  "quarantine",
		Usage: "list or lift what gateways hold against requests under which servers ended",
		Commands: []*cli.Command{
			{
				Name:        "list",
				Usage:       "list requests under which two servers or more have ended",
				Description: "Example:\n  opalbridge quarantine list --store 10.200.1.7:8781\n\nOldest first. From three servers on a request is barred at all gateways, and a part of prompts that had never been answered; one that had been answered before from six on. A part is barred for the account whose requests servers ended under, and for all accounts once that were two.",
				Flags:       []cli.Flag{store, &cli.BoolFlag{Name: "json", Usage: "write JSON"}},
				Action:      listQuarantine,
			},
			{
				Name:      "lift",
				Usage:     "let a request reach servers again",
				ArgsUsage: "KEY",
				Description: "Example:\n  opalbridge quarantine lift --store 10.200.1.7:8781 5f0c…\n\n" +
					"The gateways forget the ends that it has seen; it is barred again after three more.",
				Flags:  []cli.Flag{store},
				Action: liftQuarantine,
			},
		},
	}
}

// openSuspects returns the suspects in the platform's store.
func openSuspects(c *cli.Command) (*platform.SuspectStore, error) {
	address := c.String("store")
	if _, _, err := net.SplitHostPort(address); err != nil {
		return nil, usageError(errors.Wrapf(err, "quarantine: --store %q", address))
	}
	return &platform.SuspectStore{Store: &platform.Store{Address: address}}, nil
}

// quarantineRow is a row of the list.
type quarantineRow struct {
	Key    string `json:"key"`
	Barred bool   `json:"barred"`
	platform.SuspectRecord
}

// barredFor returns the accounts for which a part of prompts is barred. A request belongs to the
// account in its description.
func (r quarantineRow) barredFor() string {
	switch {
	case r.Part == nil:
		return "itself"
	case r.Part.ForAllAccounts():
		return "all accounts"
	default:
		return strings.Join(r.Part.Accounts, " ")
	}
}

func listQuarantine(ctx context.Context, c *cli.Command) error {
	s, err := openSuspects(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, quarantineTimeout)
	defer cancel()
	kept, err := s.List(ctx)
	if err != nil {
		return errors.Wrap(err, "quarantine: list")
	}
	rows := make([]quarantineRow, 0, len(kept))
	for key, k := range maps.All(kept) {
		rows = append(rows, quarantineRow{key.String(), k.Quarantined(), k})
	}
	slices.SortFunc(rows, func(x, y quarantineRow) int { return cmp.Or(x.Since.Compare(y.Since), cmp.Compare(x.Key, y.Key)) })
	if c.Bool("json") {
		e := json.NewEncoder(c.Root().Writer)
		e.SetIndent("", "  ")
		return e.Encode(rows)
	}
	w := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "KEY\tBARRED\tFOR\tSINCE\tASKS\tSERVERS THAT ENDED")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%t\t%s\t%s\t%s\t%s\n", r.Key, r.Barred, r.barredFor(), r.Since.Format(time.RFC3339), r.Summary, strings.Join(r.Servers, " "))
	}
	return w.Flush()
}

func liftQuarantine(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return usageError(errors.New("quarantine: expected one key, as shown by list"))
	}
	key, err := quarantine.ParseKey(c.Args().First())
	if err != nil {
		return usageError(err)
	}
	s, err := openSuspects(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, quarantineTimeout)
	defer cancel()
	kept, err := s.List(ctx)
	if err != nil {
		return errors.Wrap(err, "quarantine: lift")
	}
	if _, known := kept[key]; !known {
		return usageError(errors.Newf("quarantine: no entry for key %s", key))
	}
	if err := s.Delete(ctx, key); err != nil {
		return errors.Wrap(err, "quarantine: lift")
	}
	fmt.Fprintf(c.Root().Writer, "%s: lifted\n", key)
	return nil
}
