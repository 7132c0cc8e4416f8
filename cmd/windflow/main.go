// Command windflow is a query router. It accepts queries of MySQL and Flight SQL clients and forwards them to engines
// as package dispatch decides. The tools for operators are in the command windflowctl.
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
		Short: "Query router; serves if no command is given",
		Long: "windflow is a query router. Without a command it serves, with the configuration file that\n" +
			"PROXY_CONFIG names. Features beyond those of the platform are configured in the file given by\n" +
			"--settings; without it they are off.",
		Args:          cobra.NoArgs,
		RunE:          serve,
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.CompletionOptions.DisableDefaultCmd = true
	root.PersistentFlags().StringVar(&opts.Settings, "settings", "",
		"`file` with the installation's settings, such as deploy/windflow.json")
	root.PersistentFlags().StringVar(&format, "log-format", "text", "log format: `text` or json")
	root.PersistentFlags().BoolVar(&opts.Debug, "debug", false, "log each attempt that does not succeed")
	root.AddCommand(
		&cobra.Command{Use: "serve", Short: "Serve; the same as no command", Args: cobra.NoArgs, RunE: serve},
		&cobra.Command{
			Use: "version", Short: "Print the version", Args: cobra.NoArgs,
			Run: func(c *cobra.Command, _ []string) { fmt.Fprintln(c.OutOrStdout(), version()) },
		},
		configCommand(),
	)
	return root
}

func configCommand() *cobra.Command {
	config := &cobra.Command{Use: "config", Short: "Check settings and print their schema"}
	config.AddCommand(
		&cobra.Command{
			Use:   "check FILE...",
			Short: "Check files with the installation's settings or the platform's configuration",
			Long: "Check files of settings. A file with a field \"listen\" is checked as the platform's configuration,\n" +
				"any other as the installation's settings. Each error is a line with the file and the position in it.",
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

// checkFiles checks files and writes a line to out for each valid one. It returns the errors of the others, joined.
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

// checkFile checks a file in the way that the router does when it reads it. A file with the field "listen" is the
// platform's configuration, any other the installation's settings.
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

// version returns the version of the module, the commit from which the program was built, whether the working tree had
// changes, and the version of Go.
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
