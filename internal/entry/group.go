package entry

import (
	"context"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"pollencroft/internal/peer"
	"pollencroft/internal/store"
)

const (
	// candidateGroup is the candidateGroup of the hosts that stand ready to lead. Whoever holds the
	// first partition of leadTopic should: it says who tries, never who may. Other
	// hosts are in observers, which says nothing; being in one of the two shows a
	// host that the store serves it.
	candidateGroup = "hosts"
	observerGroup  = "others"
	// joinInterval and joinTTL keep a host in its group: a host that is gone is
	// noticed within joinTTL and a joinInterval, for a tenth of a call each.
	joinInterval = 200 * time.Millisecond
	joinTTL      = time.Second
	// joinTimeout bounds a join, at a store that answers as usual: a hundred times what it
	// takes. It is the call that finds out when a silent store is back: what was sent into
	// the silence is never answered, and for as long as it is waited for callers are
	// refused although the store serves again. joinSlower is by how many usual answers it
	// waits at a slow store.
	joinTimeout       = 400 * time.Millisecond
	joinTimeoutFactor = 3
	// minStrongHosts is how many hosts have to be much stronger than one that does not
	// stand ready to lead: of three, two may be lost.
	minStrongHosts = 3
	// strongPowerValidity is how long the lead's word on them holds: three of its answers.
	// Without a lead for so long every host stands ready.
	strongPowerValidity = 3500 * time.Millisecond
)

// incarnationBase is the base of the number that names a life of a host, the nanosecond
// in which it began.
const incarnationBase = 36

// memberName is how the group knows this life of the host: name, address, life,
// power.
func (h *Host) memberName() string {
	return h.cfg.Name + " " + h.cfg.Listen.Peer.String() + " " + h.incarnation() + " " + strconv.FormatFloat(h.cfg.Power, 'g', -1, 64)
}

// parseMember reads a member's name; false if it is none of ours.
func parseMember(s string) (string, hostInfo, bool) {
	fields := strings.Fields(s)
	if len(fields) < 4 {
		return "", hostInfo{}, false
	}
	addr, err := netip.ParseAddrPort(fields[1])
	if err != nil {
		return "", hostInfo{}, false
	}
	power, err := strconv.ParseFloat(fields[3], 64)
	if err != nil {
		return "", hostInfo{}, false
	}
	began, err := strconv.ParseInt(fields[2], incarnationBase, 64)
	return fields[0], hostInfo{addr: addr, power: power, began: time.Unix(0, began)}, err == nil
}

// removePreviousIncarnations takes former lives of this host out of the group. They are over,
// and the group would keep their places for joinTTL: after a loss of all power
// nobody would lead for that long.
func (h *Host) removePreviousIncarnations() {
	a, err := h.store.Do(h.ctx, store.Call{Op: store.Owners, Group: candidateGroup})
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
		if _, err := h.store.Do(h.ctx, store.Call{Op: store.Leave, Group: candidateGroup, Member: s.Member}); err != nil {
			h.log.Warn("entry: former life stays in the group.", "member", s.Member, "err", err)
		}
	}
}

// isCandidate tells whether the host should stand ready to lead. Where hosts differ,
// a weak one that the group names leads so slowly that it cannot even be asked to
// leave the lead to another; nearly no job would be served in time.
func (h *Host) isCandidate() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ownTerm != nil || h.cfg.Power*strongerFactor > h.strongPower || h.now().Sub(h.lastSync) > strongPowerValidity
}

// minStrongPower is the power of the weakest of the enoughHosts strongest hosts;
// zero if there are fewer. mu is held.
func (h *Host) minStrongPower() float64 {
	powers := []float64{h.cfg.Power}
	for _, s := range h.peersSeen {
		if h.now().Sub(s.at) < hostExpiry {
			powers = append(powers, s.power)
		}
	}
	if len(powers) < minStrongHosts {
		return 0
	}
	slices.Sort(powers)
	return powers[len(powers)-minStrongHosts]
}

// maintainMembership keeps the host in its group for as long as it lives.
func (h *Host) maintainMembership() {
	h.resumeTerm()
	h.removePreviousIncarnations()
	in, generation := "", int64(0)
	for h.ctx.Err() == nil {
		wanted := observerGroup
		if h.isCandidate() {
			wanted = candidateGroup
		}
		if in != wanted {
			h.leaveGroup(in)
			in, generation = wanted, 0
		}
		a, err := h.join(in, generation)
		if h.isLeaving() {
			return
		}
		if err == nil {
			generation = a.Generation
			if in == candidateGroup && slices.ContainsFunc(a.Shares, func(s store.Share) bool { return s.Part == 0 }) {
				// It may wait for an answer; the host must not lapse meanwhile.
				h.wg.Go(h.considerClaim)
			}
		}
		sleep(h.ctx, joinInterval)
	}
}

// join takes or keeps the host's place in a group.
func (h *Host) join(name string, generation int64) (store.Answer, error) {
	ctx, cancel := context.WithTimeout(h.ctx, max(joinTimeout, joinTimeoutFactor*h.store.Usual()))
	defer cancel()
	return h.store.Do(ctx, store.Call{
		Op: store.Join, Group: name, Member: h.memberName(), Topics: []string{leaderTopic}, TTL: joinTTL, Generation: generation,
	})
}

// leaveGroup gives up the host's place; what it held is dealt to others at once.
func (h *Host) leaveGroup(name string) {
	if name == "" {
		return
	}
	ctx, cancel := context.WithTimeout(h.ctx, time.Second)
	defer cancel()
	if _, err := h.store.Do(ctx, store.Call{Op: store.Leave, Group: name, Member: h.memberName()}); err != nil {
		h.log.Warn("entry: cannot leave the group.", "group", name, "err", err)
	}
}

func (h *Host) isLeaving() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leaving
}

// readHosts reads from the store which hosts there are.
func (h *Host) readHosts() {
	a, err := h.store.Do(h.ctx, store.Call{Op: store.Owners, Group: candidateGroup})
	if err != nil {
		return
	}
	all := map[string]netip.AddrPort{}
	for _, s := range a.Shares {
		if name, seen, ok := parseMember(s.Member); ok {
			all[name] = seen.addr
			h.noteHost(peer.Sync{From: name, Addr: seen.addr, Power: seen.power, Began: seen.began})
		}
	}
	if len(all) > 0 {
		h.setHosts(all)
	}
}
