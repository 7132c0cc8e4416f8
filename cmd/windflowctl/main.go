// Command windflowctl contains the operators' tools of a router; the router links none of it.
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
		Short:         "Tools beside a windflow router",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(
		adminCommand(), formerAdminCommand(), recordsCommand(), incidentCommand(), threadsCommand(),
	)
	return root
}
