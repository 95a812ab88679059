package commands

import (
	"os"
	"strings"
	"testing"

	"github.com/integrii/flaggy"
	"github.com/stretchr/testify/require"

	"pollencroft/internal/settings"
)

// readManPage returns the text of a manual page without its font markup.
func readManPage(t *testing.T, name string) string {
	t.Helper()
	b, err := os.ReadFile("../../doc/" + name)
	require.NoError(t, err)
	return strings.NewReplacer(`\-`, "-", `\fR`, "", `\fB`, "", `\fI`, "").Replace(string(b))
}

// Operators rely on the manual page during incidents, so it must contain every command and
// every flag that --help shows.
func TestManPageNamesEveryCommandAndFlag(t *testing.T) {
	text := readManPage(t, "pollencroft.1")
	for _, c := range registered {
		require.Contains(t, text, "\n.B "+c.name, "command")
		if c.flags == nil {
			continue
		}
		sub := flaggy.NewSubcommand(c.name)
		c.flags(sub)
		for _, f := range sub.Flags {
			require.Contains(t, text, "--"+f.LongName, "flag of %s", c.name)
		}
	}
}

func TestManPageNamesEveryVerbOfTheTable(t *testing.T) {
	text := readManPage(t, "pollencroft.1")
	for verb := range tableVerbs {
		require.Regexp(t, `(?m)^\.B (.*, )?`+verb+`\b`, text, "verb")
	}
}

func TestSettingsPageNamesEveryKey(t *testing.T) {
	text := readManPage(t, "pollencroft.toml.5")
	for _, key := range settings.Keys() {
		require.Contains(t, text, strings.ReplaceAll(key, "[0]", "[]"), "key")
	}
}
