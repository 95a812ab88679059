package commands

import (
	"github.com/integrii/flaggy"

	"pollencroft/internal/cell"
)

func init() {
	var o remote
	var verb, id string
	register(command{
		name: "job", summary: "ask after a job or cancel it: job show|cancel ID",
		flags: func(s *flaggy.Subcommand) {
			o.flags(s, defaultCallerAddress)
			s.AddPositionalValue(&verb, "VERB", 1, true, "show or cancel")
			s.AddPositionalValue(&id, "ID", 2, true, "job id")
		},
		run: func() error {
			c, ctx, cancel, err := o.dial()
			if err != nil {
				return err
			}
			defer cancel()
			ask := c.Job
			switch verb {
			case "show":
			case "cancel":
				ask = c.Cancel
			default:
				return &cell.ValueError{Field: "verb", Found: verb, Allowed: "show or cancel"}
			}
			s, err := ask(ctx, id)
			if err != nil {
				return err
			}
			return printJSON(s)
		},
	})
}
