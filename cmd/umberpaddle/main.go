// Command umberpaddle runs a controller of the cluster scheduler, and is the command-line client for users
// and operators.
package main

import (
	"os"

	"umberpaddle/internal/cli"
)

func main() { os.Exit(cli.Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }
