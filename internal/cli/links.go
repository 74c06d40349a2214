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

// linksCommand shows what a controller knows of links.
func linksCommand(out io.Writer) *cobra.Command {
	var server string
	cmd := &cobra.Command{Use: "links", Short: "Show what a controller knows of its links and its peers'", Args: noArgs,
		RunE: func(*cobra.Command, []string) error {
			reply, err := controller.AskLinks(server, clientTimeout)
			if err != nil {
				return fmt.Errorf("links of %s: %w", server, err)
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
		for _, s := range view.Links {
			fmt.Fprintln(table, linkRow(view.Node, s))
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "\nstate service lost: %s\nworkers lost: %s\n", reply.StateLoss, reply.WorkersLoss)
	return err
}

func linkRow(node string, s reachability.Status) string {
	return fmt.Sprintf("%s\t%s\t%s\t%s\t%t\t%d\t%s/%s\t%s\t%s", node, s.Link, s.State, rounded(s.Since), s.Suppressed, s.Changes,
		rounded(s.LatencyP50), rounded(s.LatencyP99), rounded(s.GapP99), rounded(s.OverdueAfter))
}

// rounded prints a duration to the millisecond; - stands for none.
func rounded(d time.Duration) string {
	if d == 0 {
		return "-"
	}
	return d.Round(time.Millisecond).String()
}
