// Package commands implements the command line. Each subcommand has its own file and
// registers itself from an init function.
package commands

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"
)

// Version is the program's version.
const Version = "0.1.0"

type command struct {
	name, summary string
	// flags, if set, adds the command's flags to its parser. run executes the command.
	flags func(*flaggy.Subcommand)
	run   func() error
}

var registered []command

func register(c command) { registered = append(registered, c) }

// Run parses and executes one command line and returns the exit status.
func Run(args []string) int {
	p := flaggy.NewParser("pollencroft")
	p.Description = "a cluster scheduler for unlike workloads"
	p.Version = Version
	subs := make([]*flaggy.Subcommand, len(registered))
	for i, c := range registered {
		subs[i] = flaggy.NewSubcommand(c.name)
		subs[i].Description = c.summary
		if c.flags != nil {
			c.flags(subs[i])
		}
		p.AttachSubcommand(subs[i], 1)
	}
	if err := p.ParseArgs(args); err != nil {
		fmt.Fprintln(os.Stderr, "pollencroft:", err)
		return 2
	}
	for i, c := range registered {
		if subs[i].Used {
			return exitStatus(c.run())
		}
	}
	p.ShowHelp()
	return 2
}

func exitStatus(err error) int {
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "pollencroft:", err)
	return 1
}
