package cli

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"umberpaddle/internal/controller"
	"umberpaddle/internal/reachability"
)

// newLinksCommand returns the command that shows a controller's view of the links.
func newLinksCommand(out io.Writer) *cobra.Command {
	var server string
	cmd := &cobra.Command{Use: "links", Short: "Show the links of a controller and of its peers, as that controller sees them", Args: noArgs,
		RunE: func(*cobra.Command, []string) error {
			reply, err := controller.FetchLinks(server, clientTimeout)
			if err != nil {
				return fmt.Errorf("get the links from %s: %w", server, err)
			}
			return printLinks(out, reply)
		}}
	cmd.Flags().StringVar(&server, "server", "127.0.0.1:8081", "peer address (peer_bind) of a controller")
	return cmd
}

// printLinks prints a table with a row for each link of each controller.
func printLinks(out io.Writer, reply controller.LinksReply) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "CONTROLLER\tLINK\tSTATE\tFOR\tSUPPRESSED\tFAILURES\tLATENCY P50/P99\tGAP P99\tOVERDUE AFTER")
	for _, view := range reply.Views {
		for _, status := range view.Links {
			fmt.Fprintln(table, linkRow(view.Node, status))
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "\nstate service lost: %s\nworkers lost: %s\n", reply.StateLoss, reply.WorkersLoss)
	return err
}

// linkRow formats the table row for a link of the controller node.
func linkRow(node string, status reachability.Status) string {
	return fmt.Sprintf("%s\t%s\t%s\t%s\t%t\t%d\t%s/%s\t%s\t%s", node, status.Link, status.State, formatDuration(status.Since), status.Suppressed, status.Changes,
		formatDuration(status.LatencyP50), formatDuration(status.LatencyP99), formatDuration(status.GapP99), formatDuration(status.OverdueAfter))
}

// formatDuration formats a duration, rounded to milliseconds; 0, which stands for no value, becomes "-".
func formatDuration(d time.Duration) string {
	if d == 0 {
		return "-"
	}
	return d.Round(time.Millisecond).String()
}
