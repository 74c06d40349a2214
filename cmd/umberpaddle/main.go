// Command umberpaddle is a controller of the cluster scheduler and a client for
// its users.
package main

import (
	"os"

	"umberpaddle/internal/cli"
)

func main() { os.Exit(cli.Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }
