package entry

import (
	"context"
	"net/netip"
	"strings"
	"time"

	"pollencroft/internal/peer"
	"pollencroft/internal/store"
)

const (
	// group is the hosts' group at the store. Whoever holds the first partition
	// of leadTopic should lead: it says who tries, never who may.
	group = "hosts"
	// joinEvery and joinTTL keep a host in the group: a host that is gone is
	// noticed within joinTTL and a joinEvery, for a tenth of a call each.
	joinEvery = 300 * time.Millisecond
	joinTTL   = time.Second
	// settle is how long a host that should lead waits for another one's claim:
	// twice what a claim takes.
	settle = 150 * time.Millisecond
	// syncEvery is how often a host asks the lead; what it tells callers may be
	// two seconds old.
	syncEvery = time.Second
	// askWait bounds a question to a peer: ten times what a busy one takes.
	askWait = 400 * time.Millisecond
	// listEvery is how often the lead reads which hosts there are.
	listEvery = 2 * time.Second
)

// memberName is how the group knows this life of the host: name, address, life.
func (h *Host) memberName() string {
	return h.cfg.Name + " " + h.cfg.Listen.Peer.String() + " " + h.life
}

// leaveFormer takes former lives of this host out of the group. They are over,
// and the group would keep their places for joinTTL: after a loss of all power
// nobody would lead for that long.
func (h *Host) leaveFormer() {
	a, err := h.store.Do(h.ctx, store.Call{Op: store.Owners, Group: group})
	if err != nil {
		return
	}
	left := map[string]bool{h.memberName(): true}
	for _, s := range a.Shares {
		name, _, _ := strings.Cut(s.Member, " ")
		if name != h.cfg.Name || left[s.Member] {
			continue
		}
		left[s.Member] = true
		if _, err := h.store.Do(h.ctx, store.Call{Op: store.Leave, Group: group, Member: s.Member}); err != nil {
			h.log.Warn("entry: former life stays in the group.", "member", s.Member, "err", err)
		}
	}
}

// resume takes up the term of this host's own former life: nobody else can know
// as early that it is over.
func (h *Host) resume() {
	all, _, err := store.Table(h.ctx, h.store, leadTopic, 0)
	if err != nil {
		return
	}
	h.readLead(all)
	if name, _ := h.leadNow(); name == h.cfg.Name {
		h.claim("a former life of this host led")
	}
}

func (h *Host) member() {
	h.resume()
	h.leaveFormer()
	var generation int64
	for h.ctx.Err() == nil {
		a, err := h.store.Do(h.ctx, store.Call{
			Op: store.Join, Group: group, Member: h.memberName(), Topics: []string{leadTopic}, TTL: joinTTL, Generation: generation,
		})
		if h.gone() {
			return
		}
		if err == nil {
			generation = a.Generation
			for _, s := range a.Shares {
				if s.Part == 0 {
					h.should()
				}
			}
		}
		wait(h.ctx, joinEvery)
	}
}

func (h *Host) gone() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leaving
}

// should is called while the group says that this host leads. A lead that works
// is left alone: the group deals its partitions anew without a reason at times.
func (h *Host) should() {
	lead, leading := h.leadNow()
	if leading || h.leads(lead) {
		return
	}
	// Another host may lead since, or be about to: a lead that leaves asks one to
	// succeed it, and the group names another.
	if lead != "" && !wait(h.ctx, settle) {
		return
	}
	if all, _, err := store.Table(h.ctx, h.store, leadTopic, 0); err == nil {
		h.readLead(all)
	}
	if newer, _ := h.leadNow(); h.leads(newer) {
		return
	}
	h.claim("the group names this host")
}

func (h *Host) leadNow() (name string, leading bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lead, h.leading != nil
}

// leads asks a host whether it leads and is served by the store, or is about to;
// of one that left, whether its heir does.
func (h *Host) leads(name string) bool {
	r, err := h.askLead(name)
	if err == nil && r.Heir != "" {
		r, err = h.askLead(r.Heir)
	}
	return err == nil && (r.Lead || r.Claiming)
}

func (h *Host) askLead(name string) (peer.SyncReply, error) {
	if name == "" || name == h.cfg.Name {
		return peer.SyncReply{}, &NoLeadError{}
	}
	ctx, cancel := context.WithTimeout(h.ctx, askWait)
	defer cancel()
	var r peer.SyncReply
	err := h.peers.Ask(ctx, name, peer.Sync{From: h.cfg.Name}, &r)
	return r, err
}

// sync keeps what callers are told, and the list of hosts, as the lead has them.
func (h *Host) sync() {
	for wait(h.ctx, syncEvery) {
		h.mu.Lock()
		lead, leading, alone := h.lead, h.leading != nil, len(h.hosts) < 2
		h.mu.Unlock()
		switch {
		case leading:
			h.listHosts()
			wait(h.ctx, listEvery-syncEvery)
		case lead != "" && !alone:
			h.syncWith(lead)
		default:
			h.listHosts()
		}
		h.dropRecent()
	}
}

func (h *Host) syncWith(lead string) {
	ctx, cancel := context.WithTimeout(h.ctx, askWait)
	defer cancel()
	var r peer.SyncReply
	if err := h.peers.Ask(ctx, lead, peer.Sync{From: h.cfg.Name}, &r); err != nil || !r.Lead {
		h.log.Warn("lead: does not answer.", "host", lead, "err", err)
		h.listHosts()
		return
	}
	h.mu.Lock()
	h.pending, h.pendingAt = r.Pending, h.now()
	h.mu.Unlock()
	all := make(map[string]netip.AddrPort, len(r.Hosts))
	for n, a := range r.Hosts {
		if addr, err := netip.ParseAddrPort(a); err == nil {
			all[n] = addr
		}
	}
	h.setHosts(all)
}

// refreshPending asks the lead, or takes what this host knows as the lead.
func (h *Host) refreshPending(ctx context.Context) {
	h.mu.Lock()
	t, lead := h.leading, h.lead
	h.mu.Unlock()
	if t != nil {
		n := t.pending()
		h.mu.Lock()
		h.pending, h.pendingAt = n, h.now()
		h.mu.Unlock()
		return
	}
	if lead != "" && lead != h.cfg.Name && ctx.Err() == nil {
		h.syncWith(lead)
	}
}

// listHosts reads from the store which hosts there are.
func (h *Host) listHosts() {
	a, err := h.store.Do(h.ctx, store.Call{Op: store.Owners, Group: group})
	if err != nil {
		return
	}
	all := map[string]netip.AddrPort{}
	for _, s := range a.Shares {
		name, rest, _ := strings.Cut(s.Member, " ")
		text, _, _ := strings.Cut(rest, " ")
		if addr, err := netip.ParseAddrPort(text); err == nil {
			all[name] = addr
		}
	}
	if len(all) > 0 {
		h.setHosts(all)
	}
}

// keepRecent is longer than a job may take to be known to the lead.
const keepRecent = 10 * time.Second

func (h *Host) dropRecent() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, at := range h.recent {
		if h.now().Sub(at) > keepRecent {
			delete(h.recent, id)
		}
	}
}
