package host

import (
	"context"
	"reflect"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"

	"pollencroft/internal/cell"
	"pollencroft/internal/peer"
	"pollencroft/internal/platform"
	"pollencroft/internal/settings"
	"pollencroft/internal/share"
)

// announceCheckInterval is how often hosts of a failure domain tell each other which
// slots they use; what changes is told at once.
const announceCheckInterval = 300 * time.Millisecond

func newShares(cfg settings.Settings, now time.Time) *share.Shares {
	var others []string
	for _, p := range cfg.Peers {
		if p.Domain == cfg.Domain {
			others = append(others, p.Name)
		}
	}
	limits := share.Limits{LongestDeadline: cfg.Limits.Deadline, StartupWait: cfg.Limits.StartupWait}
	return share.New(limits, cfg.Name, now.UnixMilli(), others, now)
}

func entryHosts(all []platform.HostEntry, domain string) []string {
	var names []string
	for _, m := range all {
		if m.Kind == cell.EntryHost && m.Domain == domain {
			names = append(names, m.Name)
		}
	}
	return names
}

func (h *Host) shareStep(ev share.Event) {
	h.shareMu.Lock()
	defer h.shareMu.Unlock()
	h.shareStepLocked(ev)
}

func (h *Host) shareStepLocked(ev share.Event) {
	h.mu.Lock()
	acts := h.shares.Step(h.clock(), ev)
	awaited := h.shares.AwaitedHosts()
	h.mu.Unlock()
	for _, a := range acts {
		switch a := a.(type) {
		case share.SlotsChanged:
			metrics.GetOrRegisterGauge("share.awaited", h.metrics).Update(int64(len(awaited)))
			h.log.Info("share: slots changed.", "awaited", awaited)
			h.applyShares()
		case share.SendAnnouncement:
			h.sendAnnouncement(a.Announcement)
		}
	}
}

func (h *Host) tickShares() {
	h.shareMu.Lock()
	defer h.shareMu.Unlock()
	if h.Ready() && h.relay.Drained() {
		h.shareStepLocked(share.Drained{})
		return
	}
	h.shareStepLocked(share.Tick{})
}

func (h *Host) announcement() share.Announcement {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.shares.Announcement()
}

// announceRepeat is how often a word is told again that has not changed. A word is
// there to be lost; told at the pace of changes it costs more bytes than all
// other control of a large failure domain.
const announceRepeat = 2 * time.Second

// announceShares tells the word on this host's slots again when it has changed or
// has not been told for a while.
func (h *Host) announceShares() {
	w, leaving, now := h.announcement(), h.relay.Leaving(), h.clock()
	h.mu.Lock()
	same := reflect.DeepEqual(h.lastAnnouncement, w) && reflect.DeepEqual(h.announcedLeaving, leaving) && slices.Equal(h.announcedLive, h.members.Live())
	if same && now.Sub(h.announcedAt) < announceRepeat {
		h.mu.Unlock()
		return
	}
	h.lastAnnouncement, h.announcedLeaving, h.announcedLive, h.announcedAt = w, leaving, h.members.Live(), now
	h.mu.Unlock()
	h.sendAnnouncement(w)
}

// sendAnnouncement tells the hosts of this failure domain; a lost word is told again
// with the next heartbeat.
func (h *Host) sendAnnouncement(w share.Announcement) {
	leaving := h.relay.Leaving()
	for _, p := range h.cfg.Peers {
		if p.Domain != h.cfg.Domain {
			continue
		}
		h.wg.Go(func() {
			ctx, cancel := context.WithTimeout(h.ctx, sendTimeout)
			defer cancel()
			_ = h.peers.Notify(ctx, p.Name, peer.AnnounceSlots{Announcement: w, Leaving: leaving})
		})
	}
}

// releaseSlots ends a planned stop's use of slots and gives them to their heirs,
// which would otherwise wait until the host list shows that this host is gone.
func (h *Host) releaseSlots(ctx context.Context) {
	h.shareStep(share.Stopping{})
	for ctx.Err() == nil && !h.relay.Drained() {
		h.pause(tickInterval)
	}
	if ctx.Err() == nil {
		h.shareStep(share.Drained{})
		h.pause(sendTimeout)
	}
}

// usableSlots is how many of a backend server's usableSlots are this host's.
func (h *Host) usableSlots(minion string, slots int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.shares.UsableSlots(minion, slots)
}

// rowLimitPart is this host's rowLimitPart of a row's limit, which holds in the whole cell.
// The parts follow from the settings alone and add up to the limit.
func (h *Host) rowLimitPart(row string, limit int64) int64 {
	names := []string{h.cfg.Name}
	for _, p := range h.cfg.Peers {
		names = append(names, p.Name)
	}
	slices.Sort(names)
	n := uint64(len(names))
	turn := (uint64(slices.Index(names, h.cfg.Name)) + xxhash.Sum64String(row)) % n
	part := limit / int64(n)
	if turn < uint64(limit)%n {
		part++
	}
	return part
}
