// Pollencroft is a cluster scheduler for one cell. It schedules different kinds of workload: requests
// to backend servers and jobs on workers.
package main

import (
	"os"

	"pollencroft/internal/commands"
)

func main() { os.Exit(commands.Run(os.Args[1:])) }
