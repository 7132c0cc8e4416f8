// Command windflow is one query router: MySQL and Flight SQL clients in front, engines behind, and the decisions of
// package dispatch between them. The tools that people run beside a router are in windflowctl.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"strings"

	"github.com/spf13/cobra"

	"windflow/internal/installation"
	"windflow/internal/node"
	"windflow/internal/settings"
	"windflow/internal/validate"
)

func main() {
	if err := command().Execute(); err != nil {
		for line := range strings.Lines(err.Error()) {
			fmt.Fprintln(os.Stderr, "windflow:", strings.TrimSuffix(line, "\n"))
		}
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var opts node.Options
	var format string
	serve := func(*cobra.Command, []string) error {
		switch format {
		case "text", "json":
		default:
			return fmt.Errorf("--log-format: %q is neither text nor json", format)
		}
		opts.JSON = format == "json"
		return node.Run(opts)
	}
	root := &cobra.Command{
		Use:   "windflow",
		Short: "A query router; without a command it serves",
		Long: "windflow is a query router. Without a command it serves, by the configuration that PROXY_CONFIG names.\n" +
			"Parts beyond the platform's are set in the file that --settings names; without it they are off.",
		Args:          cobra.NoArgs,
		RunE:          serve,
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.CompletionOptions.DisableDefaultCmd = true
	root.PersistentFlags().StringVar(&opts.Settings, "settings", "",
		"`file` of the installation's settings, such as deploy/windflow.json")
	root.PersistentFlags().StringVar(&format, "log-format", "text", "`text` or json")
	root.PersistentFlags().BoolVar(&opts.Debug, "debug", false, "log each attempt that does not end well")
	root.AddCommand(
		&cobra.Command{Use: "serve", Short: "Serve, as without a command", Args: cobra.NoArgs, RunE: serve},
		&cobra.Command{
			Use: "version", Short: "Print the version", Args: cobra.NoArgs,
			Run: func(c *cobra.Command, _ []string) { fmt.Fprintln(c.OutOrStdout(), version()) },
		},
		configCommand(),
	)
	return root
}

func configCommand() *cobra.Command {
	config := &cobra.Command{Use: "config", Short: "Check settings, and print what is allowed"}
	config.AddCommand(
		&cobra.Command{
			Use:   "check FILE...",
			Short: "Check files of settings: the installation's, or the platform's configuration",
			Long: "Check files of settings. One with a field \"listen\" is taken for the platform's configuration, any other " +
				"one for the\ninstallation's settings. Each fault has a line that names the file and the place in it.",
			Args: cobra.MinimumNArgs(1),
			RunE: func(c *cobra.Command, files []string) error { return checkFiles(c.OutOrStdout(), files) },
		},
		&cobra.Command{
			Use: "schema", Short: "Print the JSON Schema of the installation's settings", Args: cobra.NoArgs,
			Run: func(c *cobra.Command, _ []string) { fmt.Fprint(c.OutOrStdout(), string(installation.Schema())) },
		},
	)
	return config
}

// checkFiles checks files and reports the good ones to out. The error has a line for each fault.
func checkFiles(out io.Writer, files []string) error {
	var errs []error
	for _, file := range files {
		if err := checkFile(file); err != nil {
			errs = append(errs, err)
			continue
		}
		fmt.Fprintf(out, "%s: ok\n", file)
	}
	return errors.Join(errs...)
}

// checkFile reads a file as the router would.
func checkFile(file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var platform struct {
		Listen *string `json:"listen"`
	}
	if err := settings.Decode(text, &platform); err == nil && platform.Listen != nil {
		if err := validate.NodeConfig(text); err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
		return nil
	}
	_, err = installation.Read(file)
	return err
}

// version names the module's version and the commit that it was built from.
func version() string {
	text := "windflow"
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return text + " of an unknown version"
	}
	text += " " + info.Main.Version
	for _, setting := range info.Settings {
		switch {
		case setting.Key == "vcs.revision":
			text += " " + setting.Value[:min(len(setting.Value), 12)]
		case setting.Key == "vcs.modified" && setting.Value == "true":
			text += " with changes"
		}
	}
	return text + " " + info.GoVersion
}
