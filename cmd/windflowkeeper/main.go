// Command windflowkeeper keeps the routers' configuration by revision; see docs/configuration.md. The router links none
// of it.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"windflow/internal/decide/configerror"
	"windflow/internal/keeper"
	"windflow/internal/validate"
)

func main() {
	if err := command().Execute(); err != nil {
		for line := range strings.Lines(err.Error()) {
			fmt.Fprintln(os.Stderr, "windflowkeeper:", strings.TrimSuffix(line, "\n"))
		}
		os.Exit(1)
	}
}

func command() *cobra.Command {
	root := &cobra.Command{
		Use:           "windflowkeeper",
		Short:         "Keeps the routers' configuration by revision",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(serveCommand())
	return root
}

func serveCommand() *cobra.Command {
	var o keeper.Options
	var peers, base, format string
	serve := &cobra.Command{
		Use:   "serve",
		Short: "Serve as one keeper of a group of up to five",
		Long: "Serve as one keeper of a group of up to five, until SIGTERM. All are started with the same --peers; the first start\n" +
			"needs all of them. Neither address has any authentication: loopback or a trusted network only.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			log, err := logger(format)
			if err != nil {
				return err
			}
			o.Log = log
			if peers != "" {
				if o.Peers, err = keeper.ParsePeers(peers); err != nil {
					return err
				}
			}
			if o.Check, err = checkOver(base); err != nil {
				return err
			}
			if o.OnReady, err = readiness(log); err != nil {
				return err
			}
			// A write past the limit on the size of files is an error like that of a full disk, not the end of the process.
			signal.Ignore(syscall.SIGXFSZ)
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return keeper.Run(ctx, o)
		},
	}
	f := serve.Flags()
	f.StringVar(&o.ID, "id", "", "`name` of this keeper in --peers")
	f.StringVar(&o.Dir, "dir", "", "`folder` of this keeper alone; it is made if it is missing")
	f.StringVar(&o.HTTPAddr, "http", "", "`address:port` to listen at for calls")
	f.StringVar(&o.RaftAddr, "raft", "", "`address:port` to listen at for the other keepers")
	f.StringVar(&peers, "peers", "", "all keepers: `ID=RAFT/HTTP,...`, with the addresses that the others reach them at")
	f.StringVar(&base, "base", "", "platform configuration (`file`) of a router, against which changes are checked")
	f.StringVar(&o.Cluster, "cluster", "windflow", "`name` of the group, the same at all keepers and in their folders")
	f.BoolVar(&o.AcceptLoss, "accept-loss", false, "vote at once though the folder is empty; only where a majority is lost for good")
	f.StringVar(&format, "log-format", "text", "`text` or json")
	serve.SetContext(context.Background())
	return serve
}

func logger(format string) (*slog.Logger, error) {
	switch format {
	case "text":
		return slog.New(slog.NewTextHandler(os.Stderr, nil)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(os.Stderr, nil)), nil
	}
	return nil, fmt.Errorf("--log-format: %q is neither text nor json", format)
}

// checkOver gives the check of `windflow config check` over a router's file.
func checkOver(file string) (keeper.Check, error) {
	if file == "" {
		return nil, errors.New("--base: is missing")
	}
	base, err := os.ReadFile(file)
	if err == nil {
		err = validate.NodeConfig(base)
	}
	if err != nil {
		return nil, fmt.Errorf("--base: %s: %w", file, err)
	}
	return func(entries map[string]json.RawMessage) *configerror.Error {
		return configerror.From(validate.Entries(base, entries))
	}, nil
}

// readyEnv names the variable with the number of a descriptor on which whoever started the process waits for one line
// with the address at which calls are taken. Without the variable nothing is written.
const readyEnv = "WINDFLOW_READY_FD"

func readiness(log *slog.Logger) (func(http string), error) {
	text, handed := os.LookupEnv(readyEnv)
	if !handed {
		return nil, nil
	}
	fd, err := strconv.Atoi(text)
	if err != nil || fd < 3 {
		return nil, fmt.Errorf("%s: %q is no descriptor", readyEnv, text)
	}
	syscall.CloseOnExec(fd)
	return func(http string) {
		f := os.NewFile(uintptr(fd), "readiness")
		_, err := f.WriteString("ready " + http + "\n")
		if err = errors.Join(err, f.Close()); err != nil {
			log.Warn("readiness could not be told", "descriptor", fd, "error", err)
		}
	}, nil
}
