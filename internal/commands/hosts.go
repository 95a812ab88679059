package commands

import "github.com/integrii/flaggy"

func init() {
	var o remote
	register(command{
		name: "hosts", summary: "show the entry hosts as one of them sees them",
		flags: func(s *flaggy.Subcommand) { o.flags(s, defaultOperatorAddress) },
		run:   func() error { return o.printPage("/hosts") },
	})
}
