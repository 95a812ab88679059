package commands

import "github.com/integrii/flaggy"

func init() {
	var o remote
	register(command{
		name: "drain", summary: "begin a planned stop of a host",
		flags: func(s *flaggy.Subcommand) { o.flags(s, defaultOperatorAddress) },
		run: func() error {
			c, ctx, cancel, err := o.dial()
			if err != nil {
				return err
			}
			defer cancel()
			return c.Post(ctx, "/drain")
		},
	})
}
