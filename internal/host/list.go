package host

import (
	"context"
	"time"

	"pollencroft/internal/cell"
	"pollencroft/internal/member"
	"pollencroft/internal/peer"
	"pollencroft/internal/share"
)

// Intervals between reads of the host list. One host of each failure domain reads it often and
// notifies the others of changes. The others read it rarely, in case that host is gone or cannot
// reach them. So a leaving backend server is noticed within listReaderInterval, or up to
// member.SilenceTimeout later if the reader has just died.
const (
	listReaderInterval = time.Second
	listOtherInterval  = 10 * time.Second
)

// isListReader reports whether this host is the one that reads the list often.
func (h *Host) isListReader() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.members.LiveIn(h.cfg.Domain)[0] == h.cfg.Name
}

// followList reads the list until the host ends.
func (h *Host) followList() {
	lastRead := time.Time{}
	for h.ctx.Err() == nil {
		if h.isListReader() || h.clock().Sub(lastRead) >= listOtherInterval || h.listNotified.Swap(false) {
			h.refreshList()
			lastRead = h.clock()
		}
		select {
		case <-time.After(listReaderInterval):
		case <-h.listChanged:
			h.listNotified.Store(true)
		case <-h.ctx.Done():
		}
	}
}

// requestRefresh makes followList read the list at once. Several pending requests count as one.
func (h *Host) requestRefresh() {
	select {
	case h.listChanged <- struct{}{}:
	default:
	}
}

func (h *Host) refreshList() {
	ctx, cancel := context.WithTimeout(h.ctx, time.Second)
	defer cancel()
	all, tag, err := h.platform.Hosts(ctx, h.listTag)
	if err != nil {
		h.log.Warn("platform: cannot read the host list.", "err", err)
		return
	}
	if tag == h.listTag && tag != "" {
		h.shareListedHosts()
		return
	}
	h.listTag = tag
	h.mu.Lock()
	h.machines = all
	h.mu.Unlock()
	var leaving []string
	for _, m := range all {
		if m.Kind == cell.EntryHost && m.Leaving {
			leaving = append(leaving, m.Name)
		}
	}
	h.memberStep(member.LeavingListed{Leaving: leaving})
	h.shareListedHosts()
	h.updateShares()
	if h.isListReader() {
		h.notifyListChanged()
	}
}

// shareListedHosts passes the listed entry hosts to the share state machine, whether or not the
// list has changed: a share is released because of what the list contains, not because of a
// change.
func (h *Host) shareListedHosts() {
	h.mu.Lock()
	names := entryHosts(h.machines, h.cfg.Domain)
	h.mu.Unlock()
	h.shareStep(share.HostsListed{Names: names})
}

func (h *Host) notifyListChanged() {
	near, _ := h.peersByDomain()
	for _, name := range near {
		h.wg.Go(func() {
			ctx, cancel := context.WithTimeout(h.ctx, sendTimeout)
			defer cancel()
			_ = h.peers.Notify(ctx, name, peer.HostListChanged{})
		})
	}
}
