package commands

import (
	"os"

	"github.com/integrii/flaggy"

	"pollencroft/internal/demo"
)

func init() {
	users := "kronach"
	register(command{
		name: "demo", summary: "run a whole cell on stand-ins and count what went wrong",
		flags: func(s *flaggy.Subcommand) { s.String(&users, "u", "users", "deployment: kronach or inzira") },
		run:   func() error { return demo.Run(os.Stdout, users) },
	})
}
