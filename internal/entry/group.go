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
	// candidateGroup is the group of the hosts that are candidates for leadership. The holder of
	// the first partition of leaderTopic is the host that should try to lead; the group does not
	// decide who may lead. The other hosts are in observerGroup, which has no further meaning.
	// Membership in one of the two groups shows a host that the store serves it.
	candidateGroup = "hosts"
	observerGroup  = "others"
	// joinInterval and joinTTL keep a host in its group. A dead host is noticed within joinTTL
	// plus joinInterval, where each join counts as a tenth of a call.
	joinInterval = 200 * time.Millisecond
	joinTTL      = time.Second
	// joinTimeout limits a join call while the store answers as usual; it is a hundred times what
	// such a call takes. The join call is the one that finds out that a silent store answers
	// again. Calls that were sent during the silence are never answered, and for as long as the
	// host waits for them it refuses callers although the store serves again. While the store is
	// slow, the timeout is joinTimeoutFactor times its usual response time.
	joinTimeout       = 400 * time.Millisecond
	joinTimeoutFactor = 3
	// minStrongHosts is how many hosts have to be much stronger than a host before that host
	// stops being a candidate. Of three, two may be lost.
	minStrongHosts = 3
	// strongPowerValidity is how long the leader's report of strongPower is valid: three of its
	// replies. After that time without a leader every host is a candidate.
	strongPowerValidity = 3500 * time.Millisecond
)

// incarnationBase is the number base in which an incarnation is written. An incarnation is
// identified by the nanosecond in which it started.
const incarnationBase = 36

// memberName is the name of this incarnation of the host in its group: name, address, incarnation
// and power.
func (h *Host) memberName() string {
	return h.cfg.Name + " " + h.cfg.peerAddr().String() + " " + h.incarnation() + " " + strconv.FormatFloat(h.cfg.Power, 'g', -1, 64)
}

// parseMember parses a member's name. It returns false if the name does not have the format of
// memberName.
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

// removePreviousIncarnations removes previous incarnations of this host from the candidate group.
// They have ended, but the group would keep their membership for joinTTL, and after a power
// failure of all hosts no host would lead for that long.
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
			h.log.Warn("entry: previous incarnation cannot be removed from the group.", "member", s.Member, "err", err)
		}
	}
}

// isCandidate reports whether the host should be a candidate for leadership. If hosts differ in
// power, a weak host would lead so slowly that it could not even be asked to hand over
// leadership, and nearly no job would be finished in time.
func (h *Host) isCandidate() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ownTerm != nil || h.cfg.Power*strongerFactor > h.strongPower || h.now().Sub(h.lastSync) > strongPowerValidity
}

// minStrongPower returns the power of the weakest among the minStrongHosts strongest hosts, or
// zero if there are fewer hosts. mu is held.
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

// maintainMembership keeps the host in its group until the host stops.
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
				// considerClaim may wait for a reply; the membership must not expire in the
				// meantime.
				h.wg.Go(h.considerClaim)
			}
		}
		sleep(h.ctx, joinInterval)
	}
}

// join joins a group or renews the host's membership.
func (h *Host) join(name string, generation int64) (store.Answer, error) {
	ctx, cancel := context.WithTimeout(h.ctx, max(joinTimeout, joinTimeoutFactor*h.store.RecentLatency()))
	defer cancel()
	return h.store.Do(ctx, store.Call{
		Op: store.Join, Group: name, Member: h.memberName(), Topics: []string{leaderTopic}, TTL: joinTTL, Generation: generation,
	})
}

// leaveGroup ends the host's membership. The store assigns its partitions to other members at
// once.
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

// readHosts reads the current hosts from the store.
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
