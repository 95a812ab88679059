package model

import (
	"encoding/binary"
	"reflect"
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"
)

// Result is the result of an exploration.
type Result struct {
	States int
	Depth  int
	// Violation describes the first violation of an invariant, and Path lists the events that led to it.
	Violation string
	Path      []string
}

// Explore tries every order of events up to a depth. It continues only from
// states that it has not reached before, and stops at the first violation of an
// invariant.
func Explore(rules Rules, s Start, depth int) Result {
	seen := map[uint64]bool{}
	level := [][]int{nil}
	f := Result{}
	for ; f.Depth < depth && len(level) > 0; f.Depth++ {
		var nextLevel [][]int
		for _, c := range childrenOf(rules, s, level) {
			if c.violation != "" {
				f.Violation, f.Path, f.States = c.violation, names(rules, s, c.path), len(seen)
				return f
			}
			if !seen[c.key] && c.messages <= maxMessages {
				seen[c.key] = true
				nextLevel = append(nextLevel, c.path)
			}
		}
		level = nextLevel
	}
	f.States = len(seen)
	return f
}

// child is a state that is reached by one more event.
type child struct {
	path      []int
	violation string
	key       uint64
	messages  int
}

// childrenOf tries every possible next event after each path, and handles
// several paths concurrently. The result is in the order of the paths, so it is
// the same on every machine.
func childrenOf(rules Rules, s Start, level [][]int) []child {
	found := make([][]child, len(level))
	var g errgroup.Group
	g.SetLimit(min(4, runtime.GOMAXPROCS(0)))
	for at, path := range level {
		g.Go(func() error {
			for i := range replay(rules, s, path).choices() {
				longer := append(slices.Clone(path), i)
				w := replay(rules, s, longer)
				found[at] = append(found[at], child{longer, w.Violation(), w.key(), len(w.messages)})
			}
			return nil
		})
	}
	_ = g.Wait()
	return slices.Concat(found...)
}

func replay(rules Rules, s Start, path []int) *World {
	w := NewWorld(rules, s)
	for _, i := range path {
		w.do(w.choices()[i])
	}
	return w
}

func names(rules Rules, s Start, path []int) []string {
	w := NewWorld(rules, s)
	var all []string
	for _, i := range path {
		c := w.choices()[i]
		all = append(all, w.name(c))
		w.do(c)
	}
	return all
}

// Play runs the given number of steps and lets pick choose each event by its
// index among n possible ones. It returns the first violation of an invariant
// and the events that led to it, or an empty text and all events.
func Play(rules Rules, s Start, steps int, pick func(n int) int) (string, []string) {
	w := NewWorld(rules, s)
	var path []string
	for range steps {
		all := w.choices()
		c := all[pick(len(all))]
		path = append(path, w.name(c))
		w.do(c)
		if wrong := w.Violation(); wrong != "" {
			return wrong, path
		}
	}
	return "", path
}

// key returns a hash of the state: worlds with equal contents have the same key.
func (w *World) key() uint64 {
	h := xxhash.New()
	digest(h, reflect.ValueOf(*w), map[uintptr]bool{})
	return h.Sum64()
}

var timeType = reflect.TypeFor[time.Time]()

// digest adds the contents of a value to the hash. It follows pointers rather than
// hashing addresses, and visits maps in the order of their keys.
func digest(h *xxhash.Digest, v reflect.Value, seen map[uintptr]bool) {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() || seen[v.Pointer()] {
			number(h, 0)
			return
		}
		seen[v.Pointer()] = true
		digest(h, v.Elem(), seen)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type() != timeType || i < 2 {
				digest(h, v.Field(i), seen)
			}
		}
	case reflect.Slice:
		number(h, uint64(v.Len()))
		for i := range v.Len() {
			digest(h, v.Index(i), seen)
		}
	case reflect.Map:
		digestMap(h, v, seen)
	case reflect.String:
		number(h, uint64(v.Len()))
		_, _ = h.WriteString(v.String())
	case reflect.Bool:
		number(h, map[bool]uint64{true: 1}[v.Bool()])
	case reflect.Int, reflect.Int64:
		number(h, uint64(v.Int()))
	case reflect.Uint64:
		number(h, v.Uint())
	}
}

func number(h *xxhash.Digest, n uint64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], n)
	_, _ = h.Write(b[:])
}

func digestMap(h *xxhash.Digest, v reflect.Value, seen map[uintptr]bool) {
	keys := v.MapKeys()
	slices.SortFunc(keys, func(a, b reflect.Value) int { return strings.Compare(a.String(), b.String()) })
	number(h, uint64(len(keys)))
	for _, k := range keys {
		digest(h, k, seen)
		digest(h, v.MapIndex(k), seen)
	}
}
