package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

// doorWithin bounds one call at a door, which answers within a second.
const doorWithin = 3 * time.Second

// doorCommand speaks to routers' doors for operators; a word on an engine goes to all that are named.
func doorCommand() *cobra.Command {
	var doors []string
	call := func(c *cobra.Command, method, path string) error {
		if len(doors) == 0 {
			return fmt.Errorf("--door: no router is named")
		}
		client := &http.Client{Timeout: doorWithin}
		no := 0
		for _, door := range doors {
			r, err := http.NewRequest(method, "http://"+door+path, nil)
			if err != nil {
				return fmt.Errorf("--door %s: %w", door, err)
			}
			r.Close = true
			status, text := "", ""
			answer, err := client.Do(r)
			if err == nil {
				var body []byte
				body, err = io.ReadAll(io.LimitReader(answer.Body, 64<<10))
				_ = answer.Body.Close()
				status, text = answer.Status, strings.TrimSpace(string(body))
			}
			if err != nil {
				status = err.Error()
			}
			if err != nil || answer.StatusCode/100 != 2 {
				no++
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: %s\n", door, status)
			if text != "" {
				fmt.Fprintln(c.OutOrStdout(), text)
			}
		}
		if no > 0 {
			return fmt.Errorf("%d of %d routers did not say yes", no, len(doors))
		}
		return nil
	}
	cmd := &cobra.Command{Use: "door", Short: "Ask routers, and tell them of engines, at their doors"}
	cmd.PersistentFlags().StringSliceVar(&doors, "door", nil, "`address:port` of a router's door; several, with commas or the flag again")
	for _, sub := range []struct{ use, short, method, path string }{
		{"ready", "Ask whether they are ready to serve", http.MethodGet, "/api/ready"},
		{"figures", "Print their figures", http.MethodGet, "/api/telemetry"},
	} {
		cmd.AddCommand(&cobra.Command{
			Use: sub.use, Short: sub.short, Args: cobra.NoArgs,
			RunE: func(c *cobra.Command, _ []string) error { return call(c, sub.method, sub.path) },
		})
	}
	for _, sub := range []struct{ use, short, path string }{
		{"exclude ENGINE", "Have no more sent to an engine, by all of them", "/api/exclude/"},
		{"include ENGINE", "Put an engine back", "/api/include/"},
	} {
		cmd.AddCommand(&cobra.Command{
			Use: sub.use, Short: sub.short, Args: cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error { return call(c, http.MethodPost, sub.path+args[0]) },
		})
	}
	return cmd
}
