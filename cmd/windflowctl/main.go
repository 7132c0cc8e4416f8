// Command windflowctl is what people run beside a router; the router links none of it.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{
		Use:           "windflowctl",
		Short:         "Tools beside a windflow router",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(doorCommand(), recordsCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "windflowctl:", err)
		os.Exit(1)
	}
}
