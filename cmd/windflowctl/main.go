// Command windflowctl has the tools for operators of routers. The router's program contains none of its code.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "windflowctl:", err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	root := &cobra.Command{
		Use:           "windflowctl",
		Short:         "Tools for operators of windflow routers",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(
		adminCommand(), formerAdminCommand(), recordsCommand(), incidentCommand(), threadsCommand(),
	)
	return root
}
