// Package chart loads state machines from TOML files and runs them. The states of a request, task,
// job, worker lease or entry host are thus data that people can read and tests can check.
package chart

import (
	"embed"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

//go:embed *.toml
var files embed.FS

// State is the name of a state in a chart file.
type State string

// Event is the name of an event in a chart file.
type Event string

// Chart is the state machine of one kind of object.
type Chart struct {
	Name   string
	start  State
	states map[State]map[Event]State
	final  map[State]bool
}

type chartFile struct {
	Start  string                       `toml:"start"`
	Final  []string                     `toml:"final"`
	States map[string]map[string]string `toml:"states"`
}

// TransitionError reports that an event is not allowed in a state.
type TransitionError struct {
	Chart string
	From  State
	Event Event
}

func (e *TransitionError) Error() string {
	return fmt.Sprintf("%s: state %q has no transition for event %q", e.Chart, e.From, e.Event)
}

// FileError reports what is wrong with a chart file.
type FileError struct{ Name, Reason string }

func (e *FileError) Error() string { return fmt.Sprintf("chart %s: %s", e.Name, e.Reason) }

// Load reads the embedded chart with that name, which is the file name without its extension.
func Load(name string) (*Chart, error) {
	b, err := files.ReadFile(name + ".toml")
	if err != nil {
		return nil, errors.Wrapf(err, "read chart %s", name)
	}
	return Parse(name, b)
}

// MustLoad is like Load but panics if the file is invalid. It is for charts that are compiled in.
func MustLoad(name string) *Chart {
	c, err := Load(name)
	if err != nil {
		panic(err)
	}
	return c
}

// Parse reads a chart and checks that every state is reachable, every target exists and no final
// state has outgoing transitions.
func Parse(name string, b []byte) (*Chart, error) {
	var f chartFile
	if err := toml.Unmarshal(b, &f); err != nil {
		return nil, errors.Wrapf(err, "parse chart %s", name)
	}
	c := &Chart{Name: name, start: State(f.Start), states: map[State]map[Event]State{}, final: map[State]bool{}}
	for s, moves := range f.States {
		c.states[State(s)] = map[Event]State{}
		for ev, to := range moves {
			c.states[State(s)][Event(ev)] = State(to)
		}
	}
	for _, s := range f.Final {
		c.final[State(s)] = true
	}
	return c, c.validate()
}

func (c *Chart) validate() error {
	seen := map[State]bool{c.start: true}
	pending := []State{c.start}
	for len(pending) > 0 {
		s := pending[0]
		pending = pending[1:]
		moves, described := c.states[s]
		if !described && !c.final[s] {
			return &FileError{c.Name, fmt.Sprintf("state %q is not defined", s)}
		}
		if c.final[s] && len(moves) > 0 {
			return &FileError{c.Name, fmt.Sprintf("final state %q has outgoing transitions", s)}
		}
		for _, to := range moves {
			if !seen[to] {
				seen[to] = true
				pending = append(pending, to)
			}
		}
	}
	for s := range c.states {
		if !seen[s] {
			return &FileError{c.Name, fmt.Sprintf("state %q is unreachable", s)}
		}
	}
	for s := range c.final {
		if !seen[s] {
			return &FileError{c.Name, fmt.Sprintf("final state %q is unreachable", s)}
		}
	}
	return nil
}

// Start returns the initial state.
func (c *Chart) Start() State { return c.start }

// Final reports whether s is a final state.
func (c *Chart) Final(s State) bool { return c.final[s] }

// Next returns the state after ev, or a TransitionError and the unchanged state.
func (c *Chart) Next(s State, ev Event) (State, error) {
	to, ok := c.states[s][ev]
	if !ok {
		return s, &TransitionError{Chart: c.Name, From: s, Event: ev}
	}
	return to, nil
}

// States lists all states, sorted by name.
func (c *Chart) States() []State {
	all := make([]State, 0, len(c.states)+len(c.final))
	for s := range c.states {
		all = append(all, s)
	}
	for s := range c.final {
		if _, ok := c.states[s]; !ok {
			all = append(all, s)
		}
	}
	slices.Sort(all)
	return all
}
