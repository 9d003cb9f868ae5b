package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"opalbridge.dev/operator/operatorpb"
	"opalbridge.dev/operator/operatorpb/operatorpbconnect"
)

func ctlCommand() *cli.Command {
	return &cli.Command{
		Name:  "ctl",
		Usage: "change and look at a fleet, through any of its routers",
		Description: "Examples:\n  opalbridge ctl status\n  opalbridge ctl account create --share 2 quito\n  opalbridge ctl account update --share 5 quito\n" +
			"  opalbridge ctl explain req-abc\n  opalbridge ctl explain --account quito\n\nExit code 3: another operator's change came first; 4: it is not known whether the change was accepted.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "router", Usage: "`URL` of any router", Sources: cli.EnvVars("OPALBRIDGE_ROUTER"), Value: "http://127.0.0.1:8080"},
			&cli.StringFlag{Name: "token", Usage: "operators' token", Sources: cli.EnvVars("OPALBRIDGE_TOKEN")},
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Usage: "table or json", Value: "table"},
			&cli.Uint64Flag{Name: "expect", Usage: "make the change only if this is the current revision"},
			&cli.DurationFlag{Name: "timeout", Usage: "time for the whole call", Value: 30 * time.Second},
		},
		Commands: []*cli.Command{
			{Name: "status", Usage: "show nodes and accounts", Action: withClient(ctlStatus)},
			{Name: "configuration", Usage: "show the accepted configuration", Action: withClient(ctlConfiguration)},
			{Name: "explain", Usage: "tell what the fleet decided about a request or an account", ArgsUsage: "REQUEST",
				Flags: []cli.Flag{&cli.StringFlag{Name: "account"}}, Action: withClient(ctlExplain)},
			accountCommand(), poolCommand(), serverCommand(), limitsCommand(),
		},
	}
}

func accountCommand() *cli.Command {
	share := &cli.Uint32Flag{Name: "share", Usage: "weight against other accounts"}
	waiting := &cli.Uint32Flag{Name: "max-waiting", Usage: "requests that may wait at one router; 0: the fleet's limit"}
	return &cli.Command{Name: "account", Usage: "client accounts", Commands: []*cli.Command{
		{Name: "create", ArgsUsage: "NAME", Flags: []cli.Flag{&cli.Uint32Flag{Name: "share", Value: 1, Usage: share.Usage}, waiting}, Action: withClient(ctlCreateAccount)},
		{Name: "update", ArgsUsage: "NAME", Flags: []cli.Flag{share, waiting, &cli.BoolFlag{Name: "disabled"}}, Action: withClient(ctlUpdateAccount)},
		{Name: "rotate-key", ArgsUsage: "NAME", Action: withClient(ctlRotateKey)},
	}}
}

func poolCommand() *cli.Command {
	return &cli.Command{Name: "pool", Usage: "pools of backend servers", Commands: []*cli.Command{
		{Name: "put", ArgsUsage: "NAME", Flags: []cli.Flag{&cli.StringFlag{Name: "kind", Value: "model", Usage: "model or service"}},
			Action: withClient(func(ctx context.Context, c *client) error {
				name, err := c.name()
				if err != nil {
					return err
				}
				return applyChange(c, c.api.PutPool, ctx, &operatorpb.PutPoolRequest{Pool: &operatorpb.Pool{Name: name, Kind: c.cmd.String("kind")}, Expect: c.expect()})
			})},
		{Name: "delete", ArgsUsage: "NAME", Action: withClient(func(ctx context.Context, c *client) error {
			name, err := c.name()
			if err != nil {
				return err
			}
			return applyChange(c, c.api.DeletePool, ctx, &operatorpb.DeletePoolRequest{Name: name, Expect: c.expect()})
		})},
	}}
}

func serverCommand() *cli.Command {
	flags := []cli.Flag{
		&cli.StringFlag{Name: "hall", Usage: "hall of its host"},
		&cli.StringSliceFlag{Name: "pool", Usage: "a pool it belongs to; may stand several times"},
		&cli.BoolFlag{Name: "leaving", Usage: "give it no new work"},
	}
	return &cli.Command{Name: "server", Usage: "backend servers", Commands: []*cli.Command{
		{Name: "put", ArgsUsage: "NAME", Flags: flags, Action: withClient(func(ctx context.Context, c *client) error {
			name, err := c.name()
			if err != nil {
				return err
			}
			v := &operatorpb.Server{Name: name, Hall: c.cmd.String("hall"), Pools: c.cmd.StringSlice("pool"), Leaving: c.cmd.Bool("leaving")}
			return applyChange(c, c.api.PutServer, ctx, &operatorpb.PutServerRequest{Server: v, Expect: c.expect()})
		})},
		{Name: "delete", ArgsUsage: "NAME", Action: withClient(func(ctx context.Context, c *client) error {
			name, err := c.name()
			if err != nil {
				return err
			}
			return applyChange(c, c.api.DeleteServer, ctx, &operatorpb.DeleteServerRequest{Name: name, Expect: c.expect()})
		})},
	}}
}

// limitFlags lists the fleet's limits as flags. Limits whose flag is not given keep their
// value.
var limitFlags = []struct {
	name  string
	field func(*operatorpb.Limits) *uint32
}{
	{"max-waiting", func(l *operatorpb.Limits) *uint32 { return &l.MaxWaiting }},
	{"max-body-bytes", func(l *operatorpb.Limits) *uint32 { return &l.MaxBodyBytes }},
	{"urgent-credit", func(l *operatorpb.Limits) *uint32 { return &l.UrgentCredit }},
	{"debt-cap", func(l *operatorpb.Limits) *uint32 { return &l.DebtCap }},
	{"input-weight", func(l *operatorpb.Limits) *uint32 { return &l.InputWeight }},
	{"output-weight", func(l *operatorpb.Limits) *uint32 { return &l.OutputWeight }},
	{"cached-weight", func(l *operatorpb.Limits) *uint32 { return &l.CachedWeight }},
	{"call-cost", func(l *operatorpb.Limits) *uint32 { return &l.CallCost }},
}

func limitsCommand() *cli.Command {
	var flags []cli.Flag
	for _, f := range limitFlags {
		flags = append(flags, &cli.Uint32Flag{Name: f.name})
	}
	return &cli.Command{Name: "limits", Usage: "the fleet's limits and cost weights", Commands: []*cli.Command{
		{Name: "put", Usage: "change the limits that are named", Flags: flags, Action: withClient(ctlLimits)},
	}}
}

func ctlLimits(ctx context.Context, c *client) error {
	current, err := c.api.GetConfiguration(ctx, connect.NewRequest(&operatorpb.GetConfigurationRequest{}))
	if err != nil {
		return c.withExitCode(err)
	}
	limits := current.Msg.Limits
	for _, f := range limitFlags {
		if c.cmd.IsSet(f.name) {
			*f.field(limits) = c.cmd.Uint32(f.name)
		}
	}
	expect := c.expect()
	if expect == 0 {
		expect = current.Msg.Revision // limits that are not set are taken from this revision
	}
	return applyChange(c, c.api.PutLimits, ctx, &operatorpb.PutLimitsRequest{Limits: limits, Expect: expect})
}

// client runs one ctl command.
type client struct {
	cmd *cli.Command
	api operatorpbconnect.OperatorClient
}

func withClient(f func(context.Context, *client) error) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		if o := cmd.String("output"); o != "table" && o != "json" {
			return usageError(errors.Newf("ctl: --output %q is neither table nor json", o))
		}
		ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
		defer cancel()
		auth := connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
			return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
				r.Header().Set("Authorization", "Bearer "+cmd.String("token"))
				return next(ctx, r)
			}
		})
		api := operatorpbconnect.NewOperatorClient(http.DefaultClient, cmd.String("router"), connect.WithInterceptors(auth))
		return f(ctx, &client{cmd: cmd, api: api})
	}
}

func (c *client) expect() uint64 { return c.cmd.Uint64("expect") }

func (c *client) writer() io.Writer { return c.cmd.Root().Writer }

func (c *client) name() (string, error) {
	if c.cmd.Args().Len() != 1 {
		return "", usageError(errors.Newf("ctl %s: name one", c.cmd.FullName()))
	}
	return c.cmd.Args().First(), nil
}

// withExitCode adds the exit code to an error returned by a router.
func (c *client) withExitCode(err error) error {
	code := exitFailure
	switch connect.CodeOf(err) {
	case connect.CodeAborted:
		code = exitConflict
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded:
		code = exitUnknown
	case connect.CodeInvalidArgument, connect.CodeNotFound, connect.CodeAlreadyExists:
		code = exitUsage
	}
	return &failure{code: code, err: err}
}

// show prints a message as JSON or, for table output, with the table function.
func (c *client) show(m proto.Message, table func(w io.Writer)) error {
	if c.cmd.String("output") == "json" {
		b, err := protojson.MarshalOptions{Multiline: true, EmitUnpopulated: true}.Marshal(m)
		if err != nil {
			return errors.Wrap(err, "ctl: print")
		}
		fmt.Fprintln(c.writer(), string(b))
		return nil
	}
	w := tabwriter.NewWriter(c.writer(), 0, 0, 2, ' ', 0)
	table(w)
	return w.Flush()
}

// applyChange makes a call that changes the configuration and prints the new revision.
func applyChange[Q any](c *client, call func(context.Context, *connect.Request[Q]) (*connect.Response[operatorpb.Changed], error), ctx context.Context, q *Q) error {
	r, err := call(ctx, connect.NewRequest(q))
	if err != nil {
		return c.withExitCode(err)
	}
	return c.show(r.Msg, func(w io.Writer) { fmt.Fprintf(w, "accepted as revision %d\n", r.Msg.Revision) })
}

func ctlCreateAccount(ctx context.Context, c *client) error {
	name, err := c.name()
	if err != nil {
		return err
	}
	r, err := c.api.CreateAccount(ctx, connect.NewRequest(&operatorpb.CreateAccountRequest{
		Account: &operatorpb.Account{Name: name, Share: c.cmd.Uint32("share"), MaxWaiting: c.cmd.Uint32("max-waiting")}, Expect: c.expect(),
	}))
	if err != nil {
		return c.withExitCode(err)
	}
	return c.showKey(r.Msg)
}

func (c *client) showKey(m *operatorpb.CreateAccountResponse) error {
	return c.show(m, func(w io.Writer) {
		fmt.Fprintf(w, "key %s\naccepted as revision %d; the key is shown only now\n", m.Key, m.Revision)
	})
}

func ctlRotateKey(ctx context.Context, c *client) error {
	name, err := c.name()
	if err != nil {
		return err
	}
	r, err := c.api.RotateKey(ctx, connect.NewRequest(&operatorpb.RotateKeyRequest{Name: name, Expect: c.expect()}))
	if err != nil {
		return c.withExitCode(err)
	}
	return c.showKey(r.Msg)
}

func ctlUpdateAccount(ctx context.Context, c *client) error {
	name, err := c.name()
	if err != nil {
		return err
	}
	m := &operatorpb.UpdateAccountRequest{Name: name, Expect: c.expect()}
	if c.cmd.IsSet("share") {
		m.Share = proto.Uint32(c.cmd.Uint32("share"))
	}
	if c.cmd.IsSet("max-waiting") {
		m.MaxWaiting = proto.Uint32(c.cmd.Uint32("max-waiting"))
	}
	if c.cmd.IsSet("disabled") {
		m.Disabled = proto.Bool(c.cmd.Bool("disabled"))
	}
	return applyChange(c, c.api.UpdateAccount, ctx, m)
}

func ctlConfiguration(ctx context.Context, c *client) error {
	r, err := c.api.GetConfiguration(ctx, connect.NewRequest(&operatorpb.GetConfigurationRequest{}))
	if err != nil {
		return c.withExitCode(err)
	}
	m := r.Msg
	return c.show(m, func(w io.Writer) {
		fmt.Fprintf(w, "revision %d\n\nACCOUNT\tSHARE\tDISABLED\n", m.Revision)
		for _, a := range m.Accounts {
			fmt.Fprintf(w, "%s\t%d\t%v\n", a.Name, a.Share, a.Disabled)
		}
		fmt.Fprintf(w, "\nPOOL\tKIND\n")
		for _, p := range m.Pools {
			fmt.Fprintf(w, "%s\t%s\n", p.Name, p.Kind)
		}
		fmt.Fprintf(w, "\nSERVER\tHALL\tPOOLS\tLEAVING\n")
		for _, s := range m.Servers {
			fmt.Fprintf(w, "%s\t%s\t%s\t%v\n", s.Name, s.Hall, strings.Join(s.Pools, ","), s.Leaving)
		}
		fmt.Fprintf(w, "\nLIMIT\tVALUE\n")
		for _, f := range limitFlags {
			fmt.Fprintf(w, "%s\t%d\n", f.name, *f.field(m.Limits))
		}
	})
}

func ctlStatus(ctx context.Context, c *client) error {
	r, err := c.api.Status(ctx, connect.NewRequest(&operatorpb.StatusRequest{}))
	if err != nil {
		return c.withExitCode(err)
	}
	m := r.Msg
	return c.show(m, func(w io.Writer) {
		fmt.Fprintf(w, "revision %d\n\nNODE\tROLE\tHALL\tREVISION\tRUNNING\tLIMIT\tWAITING\tGAP\tBOUND\tCONTROL BYTES\tDEGRADED\n", m.Revision)
		for _, n := range m.Nodes {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%d\t%s\n", n.Name, n.Role, n.Hall, n.Revision, n.Running, n.Limit, n.Waiting, n.Gap, n.Bound, n.ControlBytes, strings.Join(n.Degraded, "; "))
		}
		fmt.Fprintf(w, "\nACCOUNT\tSHARE\tSERVICE\tBACKLOGGED\tWAITING HERE\n")
		for _, a := range m.Accounts {
			fmt.Fprintf(w, "%s\t%d\t%.0f\t%v\t%d\n", a.Name, a.Share, a.Service, a.Backlogged, a.Waiting)
		}
	})
}

func ctlExplain(ctx context.Context, c *client) error {
	q := &operatorpb.ExplainRequest{Account: c.cmd.String("account")}
	if q.Account == "" {
		name, err := c.name()
		if err != nil {
			return err
		}
		q.Request = name
	}
	r, err := c.api.Explain(ctx, connect.NewRequest(q))
	if err != nil {
		return c.withExitCode(err)
	}
	return c.show(r.Msg, func(w io.Writer) {
		for _, e := range r.Msg.Events {
			fmt.Fprintf(w, "%s\t%s\t%s\tattempt %d\trevision %d\t%s\n", time.Unix(0, e.UnixNano).UTC().Format("15:04:05.000000"), e.Node, e.Kind, e.Attempt, e.Revision, e.Text)
		}
		for _, n := range r.Msg.Unreached {
			fmt.Fprintf(w, "%s did not answer: its part is missing\n", n)
		}
		if len(r.Msg.Events) == 0 {
			fmt.Fprintln(w, "no node has a record of it")
		}
	})
}
