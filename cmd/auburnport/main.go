// Command auburnport manages the capacity and the maintenance of a fleet of VMs, and proxies requests from callers
// to backend servers.
package main

import (
	"os"

	"auburnport/internal/apcommand"
)

func main() { os.Exit(apcommand.Run(os.Args[1:], os.Stdout, os.Stderr)) }
