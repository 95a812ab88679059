package commands

import (
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"pollencroft/internal/report"
)

// defaultReportWindow is the length of a report's windows, defaultReportJobs how many jobs its lists
// show.
const (
	defaultReportWindow = 2 * time.Second
	defaultReportJobs   = 10
)

func init() {
	window, by, jobs := defaultReportWindow, strings.Join(report.Dimensions, ","), defaultReportJobs
	register(command{
		name: "report", summary: "sum up what the hosts' log lines on standard input say about load",
		flags: func(s *flaggy.Subcommand) {
			s.Duration(&window, "w", "window", "length of the windows of time")
			s.String(&by, "b", "by", "what to sum up by, separated by commas; empty for windows only")
			s.Int(&jobs, "n", "jobs", "how many jobs each list shows")
		},
		run: func() error {
			split := func(c rune) bool { return c == ',' }
			return printReport(report.Options{Window: window, By: strings.FieldsFunc(by, split), Jobs: jobs})
		},
	})
}

// printReport prints the report of the log lines on standard input, as far as they can be read.
func printReport(o report.Options) error {
	r, err := report.Read(os.Stdin, o)
	if r == nil {
		return err
	}
	if written := r.Write(os.Stdout); written != nil {
		return written
	}
	return err
}
