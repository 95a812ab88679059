package commands

import (
	"fmt"

	"github.com/integrii/flaggy"

	"pollencroft/internal/settings"
)

func init() {
	var file string
	register(command{
		name: "check", summary: "check a settings file and print every fault",
		flags: func(s *flaggy.Subcommand) {
			s.AddPositionalValue(&file, "FILE", 1, true, "settings file")
		},
		run: func() error {
			if _, err := settings.Load(file); err != nil {
				return err
			}
			fmt.Println(file + ": good")
			return nil
		},
	})
}
