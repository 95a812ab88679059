package commands

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"pollencroft/internal/timeline"
)

func init() {
	var o remote
	var id string
	var logs bool
	register(command{
		name: "explain", summary: "tell what was decided about a job or request",
		flags: func(s *flaggy.Subcommand) {
			o.flags(s, defaultOperatorAddress)
			s.Bool(&logs, "l", "logs", "read the hosts' log lines from standard input instead of asking a host")
			s.AddPositionalValue(&id, "ID", 1, true, "job or request id")
		},
		run: func() error {
			if logs {
				return explainLogs(id)
			}
			return o.printPage("/explain/" + id)
		},
	})
}

// explainLogs prints the timeline of the job or request with this ID, extracted from the log
// lines on standard input. The lines may come from any number of hosts.
func explainLogs(id string) error {
	lines, err := timeline.Read(os.Stdin, id)
	if err != nil {
		return err
	}
	for _, l := range lines {
		fmt.Println(l)
	}
	return nil
}
