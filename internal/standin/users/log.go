// Package users simulates the platform of the organisations that use pollencroft: its log with
// partitions, fencing and consumer groups, and its workers, which start a task without checking
// their capacity or whether it runs elsewhere. It speaks the platform's published protocol over HTTP
// on the loopback interface, injects faults, and records violations of invariants.
package users

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pollencroft/internal/store"
)

// Fault is a way in which the log fails the calls of a host.
type Fault int

// Faults in order of severity: if several apply to a call, the last one in this list wins.
const (
	// None serves calls normally.
	None Fault = iota
	// Busy refuses calls.
	Busy
	// Silent neither carries calls out nor answers them.
	Silent
	// Lost carries calls out but does not answer them.
	Lost
)

// seqsKept is the number of a writer's last appends that are remembered. A repeated append among
// them gets the first answer again.
const seqsKept = 5

type partition struct {
	records []store.Record
	newest  map[string]store.Record
	epoch   int64
	seq     int64
	// answers holds the answers to the last appends of the epoch by sequence number.
	answers map[int64]store.Answer
	grown   chan struct{}
}

type member struct {
	topics []string
	until  time.Time
}

type group struct {
	generation int64
	members    map[string]*member
	owners     map[store.Share]string
}

// Log is an in-memory version of the platform's log. It is safe for concurrent use.
type Log struct {
	parts int
	now   func() time.Time
	mu    sync.Mutex
	logs  map[store.Share]*partition
	group map[string]*group
	fault map[string]Fault
	all   Fault
	// unread holds the faults of reads by topic, unwritten those of appends by topic, and down
	// those of all calls by partition. Every answer is delayed by slow.
	unread    map[string]Fault
	unwritten map[string]Fault
	down      map[store.Share]Fault
	slow      time.Duration
	// fields holds the raw JSON of an additional field of records in pages, by key.
	fields map[string]string
	// calls counts the calls by operation.
	calls map[store.Op]int
	// writers holds the host of the last fenced append by topic.
	writers map[string]string
}

// NewLog returns an empty log whose topics have the given number of partitions.
func NewLog(parts int, now func() time.Time) *Log {
	return &Log{parts: parts, now: now, logs: map[store.Share]*partition{}, group: map[string]*group{}, fault: map[string]Fault{}, unread: map[string]Fault{}, unwritten: map[string]Fault{}, down: map[store.Share]Fault{}, fields: map[string]string{}, calls: map[store.Op]int{}, writers: map[string]string{}}
}

// Break sets the fault for all calls of a host. An empty name stands for every host.
func (l *Log) Break(host string, f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if host == "" {
		l.all = f
		return
	}
	l.fault[host] = f
}

// BreakPart sets the fault for the calls of all hosts to one partition.
func (l *Log) BreakPart(topic string, part int, f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down[store.Share{Topic: topic, Part: part}] = f
}

// BreakReads sets the fault for all reads of a topic.
func (l *Log) BreakReads(topic string, f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unread[topic] = f
}

// BreakAppends sets the fault for all appends to a topic.
func (l *Log) BreakAppends(topic string, f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unwritten[topic] = f
}

// AddField gives the records with that key an additional field in pages.
func (l *Log) AddField(key, raw string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fields[key] = raw
}

// Slow delays every answer by d. Calls still take effect immediately.
func (l *Log) Slow(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slow = d
}

// Calls returns the number of calls of an operation.
func (l *Log) Calls(op store.Op) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls[op]
}

// LastWriter returns the host whose fenced append to a topic was the last one that was carried out, or
// an empty string.
func (l *Log) LastWriter(topic string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.writers[topic]
}

// Put writes a record to the first partition of a topic on behalf of the platform.
func (l *Log) Put(topic, key string, value []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.part(topic, 0).add([]store.Record{{Key: key, Value: value}})
}

// Fence makes some partitions of a topic refuse the appends of all terms so far, as if a host had
// claimed them. It takes effect before any later call.
func (l *Log) Fence(topic string, parts ...int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	epoch := int64(len(l.part(topic, 0).records)) + 1
	for _, n := range parts {
		p := l.part(topic, n)
		p.epoch, p.seq = epoch, -1
		clear(p.answers)
	}
}

// For returns a client of the log for one host. The host's faults apply to its calls.
func (l *Log) For(host string) store.Log { return view{l, host} }

type view struct {
	log  *Log
	host string
}

// errLost is the cause of the error for calls with the fault Lost.
var errLost = errors.New("the stand-in dropped the answer")

// Do makes a call on behalf of the host.
func (v view) Do(ctx context.Context, c store.Call) (store.Answer, error) {
	v.log.mu.Lock()
	fault := max(v.log.fault[v.host], v.log.all, v.log.down[store.Share{Topic: c.Topic, Part: c.Part}])
	if c.Op == store.Read || c.Op == store.Newest {
		fault = max(fault, v.log.unread[c.Topic])
	}
	if c.Op == store.Append {
		fault = max(fault, v.log.unwritten[c.Topic])
	}
	slow := v.log.slow
	v.log.mu.Unlock()
	switch fault {
	case Busy:
		return store.Answer{}, &store.RefusedError{Op: c.Op, Reason: "busy"}
	case Silent:
		<-ctx.Done()
		return store.Answer{}, &store.UnansweredError{Op: c.Op, Cause: ctx.Err()}
	case Lost:
		_, _ = v.do(ctx, c)
		return store.Answer{}, &store.UnansweredError{Op: c.Op, Cause: errLost}
	}
	a, err := v.do(ctx, c)
	if slow > 0 {
		time.Sleep(slow)
	}
	return a, err
}

func (v view) do(ctx context.Context, c store.Call) (store.Answer, error) {
	a, err := v.log.do(ctx, c)
	if err == nil && c.Op == store.Append && c.Epoch > 0 {
		v.log.mu.Lock()
		v.log.writers[c.Topic] = v.host
		v.log.mu.Unlock()
	}
	return a, err
}

func (l *Log) do(ctx context.Context, c store.Call) (store.Answer, error) {
	if c.Op == store.Read && c.Wait > 0 {
		l.await(ctx, c)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls[c.Op]++
	switch c.Op {
	case store.Append:
		return l.append(c)
	case store.Read:
		p := l.part(c.Topic, c.Part)
		a := store.Answer{End: int64(len(p.records))}
		if c.From < a.End {
			a.Records = slices.Clone(p.records[max(c.From, 0):])
		}
		return a, nil
	case store.Newest:
		return l.newest(c), nil
	case store.Join:
		return l.join(c), nil
	case store.Leave:
		l.leave(c)
		return store.Answer{}, nil
	case store.Owners:
		return l.owners(c), nil
	default:
		return store.Answer{}, &store.InvalidError{Op: c.Op, Reason: "unknown"}
	}
}

func (l *Log) part(topic string, n int) *partition {
	at := store.Share{Topic: topic, Part: n}
	p, ok := l.logs[at]
	if !ok {
		p = &partition{newest: map[string]store.Record{}, answers: map[int64]store.Answer{}, grown: make(chan struct{})}
		l.logs[at] = p
	}
	return p
}

func (p *partition) add(records []store.Record) store.Answer {
	a := store.Answer{Offset: int64(len(p.records))}
	for _, r := range records {
		r.Offset = int64(len(p.records))
		p.records = append(p.records, r)
		if len(r.Value) == 0 {
			delete(p.newest, r.Key)
			continue
		}
		p.newest[r.Key] = r
	}
	a.End = int64(len(p.records))
	close(p.grown)
	p.grown = make(chan struct{})
	return a
}

func (l *Log) append(c store.Call) (store.Answer, error) {
	p := l.part(c.Topic, c.Part)
	if c.Epoch > 0 {
		switch {
		case c.Epoch < p.epoch:
			return store.Answer{}, &store.FencedError{Epoch: c.Epoch}
		case c.Epoch > p.epoch:
			p.epoch, p.seq = c.Epoch, c.Seq-1
			clear(p.answers)
		}
		if a, ok := p.answers[c.Seq]; ok {
			return a, nil
		}
		if c.Seq != p.seq+1 {
			return store.Answer{}, &store.InvalidError{Op: c.Op, Reason: "seq"}
		}
	}
	if c.At != nil && *c.At != int64(len(p.records)) {
		return store.Answer{}, &store.EndMismatchError{End: int64(len(p.records))}
	}
	a := p.add(c.Records)
	if c.Epoch > 0 {
		p.seq = c.Seq
		p.answers[c.Seq] = a
		delete(p.answers, c.Seq-seqsKept)
	}
	return a, nil
}

// await returns when there is a record to read, the call's wait time is over or the context is
// done.
func (l *Log) await(ctx context.Context, c store.Call) {
	l.mu.Lock()
	p := l.part(c.Topic, c.Part)
	grown, has := p.grown, c.From < int64(len(p.records))
	l.mu.Unlock()
	if has {
		return
	}
	t := time.NewTimer(c.Wait)
	defer t.Stop()
	select {
	case <-grown:
	case <-t.C:
	case <-ctx.Done():
	}
}

// pageSize is small so that tests have to read more than one page.
const pageSize = 50

func (l *Log) newest(c store.Call) store.Answer {
	p := l.part(c.Topic, c.Part)
	a := store.Answer{End: int64(len(p.records))}
	for _, k := range slices.Sorted(maps.Keys(p.newest)) {
		if k <= c.After && c.After != "" {
			continue
		}
		if len(a.Records) == pageSize {
			a.More = true
			break
		}
		a.Records = append(a.Records, p.newest[k])
	}
	return a
}

// groupOf returns the group of that name, creating it if necessary, and removes its expired members.
func (l *Log) groupOf(name string) *group {
	g, ok := l.group[name]
	if !ok {
		g = &group{members: map[string]*member{}, owners: map[store.Share]string{}}
		l.group[name] = g
	}
	for n, m := range g.members {
		if l.now().After(m.until) {
			delete(g.members, n)
			g.assign(l.parts)
		}
	}
	return g
}

// assign assigns every partition without an owner to the member that owns the fewest. A partition
// whose owner is still a member is not moved.
func (g *group) assign(parts int) {
	g.generation++
	names := slices.Sorted(maps.Keys(g.members))
	count := map[string]int{}
	for at, n := range g.owners {
		if _, ok := g.members[n]; !ok {
			delete(g.owners, at)
			continue
		}
		count[n]++
	}
	if len(names) == 0 {
		return
	}
	for _, topic := range g.members[names[0]].topics {
		for i := range parts {
			at := store.Share{Topic: topic, Part: i}
			if _, ok := g.owners[at]; ok {
				continue
			}
			least := slices.MinFunc(names, func(a, b string) int { return count[a] - count[b] })
			g.owners[at] = least
			count[least]++
		}
	}
}

// rebalance rebalances the partitions: it moves partitions away from members that own more than an equal
// share, rounded up.
func (g *group) rebalance(parts int) {
	if len(g.members) == 0 {
		return
	}
	most := (parts + len(g.members) - 1) / len(g.members)
	count := map[string]int{}
	for _, at := range g.sorted() {
		n := g.owners[at]
		if count[n]++; count[n] > most {
			delete(g.owners, at)
		}
	}
	g.assign(parts)
}

func (g *group) sorted() []store.Share {
	return slices.SortedFunc(maps.Keys(g.owners), func(a, b store.Share) int { return a.Part - b.Part })
}

func (l *Log) join(c store.Call) store.Answer {
	g := l.groupOf(c.Group)
	m, ok := g.members[c.Member]
	if !ok {
		m = &member{}
		g.members[c.Member] = m
	}
	m.topics, m.until = c.Topics, l.now().Add(c.TTL)
	if !ok {
		g.rebalance(l.parts)
	}
	a := store.Answer{Generation: g.generation}
	for _, at := range g.sorted() {
		if g.owners[at] == c.Member {
			a.Shares = append(a.Shares, at)
		}
	}
	return a
}

func (l *Log) leave(c store.Call) {
	g := l.groupOf(c.Group)
	if _, ok := g.members[c.Member]; ok {
		delete(g.members, c.Member)
		g.assign(l.parts)
	}
}

func (l *Log) owners(c store.Call) store.Answer {
	g := l.groupOf(c.Group)
	var a store.Answer
	for _, at := range g.sorted() {
		at.Member = g.owners[store.Share{Topic: at.Topic, Part: at.Part}]
		a.Shares = append(a.Shares, at)
	}
	return a
}

// Reassign reassigns all partitions of a group at once, as the platform sometimes does on its own. The
// first partition of each topic goes to the member that pick returns.
func (l *Log) Reassign(name string, pick func(members []string) string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.groupOf(name)
	if len(g.members) == 0 {
		return
	}
	clear(g.owners)
	first := pick(slices.Sorted(maps.Keys(g.members)))
	for _, topic := range g.members[first].topics {
		g.owners[store.Share{Topic: topic}] = first
	}
	g.assign(l.parts)
}
