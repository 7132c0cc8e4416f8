// Command windflowkeeper is a keeper, which stores the revisions of the routers' configuration; see
// docs/configuration.md. The router's program contains none of its code.
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
		Short:         "Stores the revisions of the routers' configuration",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(serveCommand())
	return root
}

func serveCommand() *cobra.Command {
	var arguments serveArguments
	serve := &cobra.Command{
		Use:   "serve",
		Short: "Run one keeper of a group of up to five",
		Long: "Run one keeper of a group of up to five, until SIGTERM. " +
			"All are started with the same --peers; the first start\n" +
			"needs all of them. Neither address requires authentication: use loopback or a trusted network only.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error { return arguments.run(command.Context()) },
	}
	options, flags := &arguments.options, serve.Flags()
	flags.StringVar(&options.ID, "id", "", "`name` of this keeper in --peers")
	flags.StringVar(&options.Dir, "dir", "", "data `folder` of this keeper only; created if it does not exist")
	flags.StringVar(&options.HTTPAddr, "http", "", "`address:port` to listen on for HTTP calls")
	flags.StringVar(&options.RaftAddr, "raft", "", "`address:port` to listen on for the other keepers")
	flags.StringVar(&arguments.peers, "peers", "",
		"all keepers: `ID=RAFT/HTTP,...`, with the addresses at which the others reach them")
	flags.StringVar(&arguments.baseFile, "base", "",
		"`file` with the platform configuration of a router, against which changes are checked")
	flags.StringVar(&options.Cluster, "cluster", "windflow",
		"`name` of the group, the same for all keepers and in their folders")
	flags.BoolVar(&options.AcceptLoss, "accept-loss", false,
		"vote at once although the folder is empty; only if a majority is lost for good")
	flags.StringVar(&arguments.logFormat, "log-format", "text", "log format: `text` or json")
	serve.SetContext(context.Background())
	return serve
}

// serveArguments has the values of the flags of the serve command.
type serveArguments struct {
	options                    keeper.Options
	peers, baseFile, logFormat string
}

// run runs a keeper until SIGTERM or SIGINT, or until it fails.
func (a *serveArguments) run(ctx context.Context) error {
	log, err := newLogger(a.logFormat)
	if err != nil {
		return err
	}
	options := a.options
	options.Log = log
	if a.peers != "" {
		if options.Peers, err = keeper.ParsePeers(a.peers); err != nil {
			return err
		}
	}
	if options.Check, err = newChangeCheck(a.baseFile); err != nil {
		return err
	}
	if options.OnReady, err = newReadinessNotifier(log); err != nil {
		return err
	}
	// A write beyond the limit on file sizes raises SIGXFSZ, which would end the process. With the signal ignored, the
	// write returns an error, like a write to a full disk.
	signal.Ignore(syscall.SIGXFSZ)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return keeper.Run(ctx, options)
}

// newLogger returns a logger that writes to standard error. Its errors name the flag --log-format.
func newLogger(format string) (*slog.Logger, error) {
	switch format {
	case "text":
		return slog.New(slog.NewTextHandler(os.Stderr, nil)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(os.Stderr, nil)), nil
	}
	return nil, fmt.Errorf("--log-format: %q is neither text nor json", format)
}

// newChangeCheck returns the check that a change must pass. It applies the entries to the platform configuration in
// file and checks the result as "windflow config check" does. Its errors name the flag --base.
func newChangeCheck(file string) (keeper.Check, error) {
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

// readyEnv names the environment variable with the number of a descriptor. When the keeper is ready, it writes a line
// with its address for HTTP calls to the descriptor. The process that started the keeper waits for that line. Without
// the variable, nothing is written.
const readyEnv = "WINDFLOW_READY_FD"

// minReadyDescriptor is the first descriptor after those of the standard streams.
const minReadyDescriptor = 3

// newReadinessNotifier returns the function that reports readiness on the descriptor given by readyEnv, or nil if the
// variable is not set. It fails if the variable has no valid number.
func newReadinessNotifier(log *slog.Logger) (func(httpAddr string), error) {
	text, found := os.LookupEnv(readyEnv)
	if !found {
		return nil, nil
	}
	fd, err := strconv.Atoi(text)
	if err != nil || fd < minReadyDescriptor {
		return nil, fmt.Errorf("%s: %q is no descriptor", readyEnv, text)
	}
	syscall.CloseOnExec(fd)
	return func(httpAddr string) {
		file := os.NewFile(uintptr(fd), "readiness")
		_, err := file.WriteString("ready " + httpAddr + "\n")
		if err = errors.Join(err, file.Close()); err != nil {
			log.Warn("readiness notification failed", "descriptor", fd, "error", err)
		}
	}, nil
}
