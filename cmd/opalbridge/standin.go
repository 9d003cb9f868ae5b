package main

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"opalbridge.dev/engine/enginetest"
	"opalbridge.dev/platform/platformtest"
)

func standinCommand() *cli.Command {
	listen := &cli.StringFlag{Name: "listen", Usage: "IP and port", Value: "127.0.0.1:0"}
	return &cli.Command{
		Name:  "standin",
		Usage: "run a stand-in for the platform or a backend server, to try separate processes",
		Description: "Examples:\n  opalbridge standin platform --listen 127.0.0.1:7001\n  opalbridge standin model --listen 127.0.0.1:7002 --model small\n" +
			"  opalbridge standin service --listen 127.0.0.1:7003\n\nThey keep everything in memory and are not for production.",
		Commands: []*cli.Command{
			{Name: "platform", Flags: []cli.Flag{listen}, Action: func(ctx context.Context, c *cli.Command) error {
				return serveStandin(ctx, c, &platformtest.Store{})
			}},
			{Name: "model", Flags: []cli.Flag{listen,
				&cli.StringSliceFlag{Name: "model", Value: []string{devModel}}, &cli.IntFlag{Name: "slots", Value: devSlots},
			}, Action: func(ctx context.Context, c *cli.Command) error {
				return serveStandin(ctx, c, enginetest.NewModel(enginetest.ModelOptions{Models: c.StringSlice("model"), Slots: c.Int("slots")}))
			}},
			{Name: "service", Flags: []cli.Flag{listen}, Action: func(ctx context.Context, c *cli.Command) error {
				return serveStandin(ctx, c, &enginetest.Service{})
			}},
		},
	}
}

func serveStandin(ctx context.Context, c *cli.Command, h http.Handler) error {
	l, err := net.Listen("tcp", c.String("listen"))
	if err != nil {
		return usageError(errors.Wrap(err, "standin: listen"))
	}
	fmt.Fprintf(c.Root().Writer, "ready: http://%s\n", l.Addr())
	s := newServer(h)
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
