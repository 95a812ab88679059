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

// announceCheckInterval is how often a host checks whether its announcement has to be repeated
// to the hosts of its failure domain. Changes of the slots that it uses are announced at once.
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

// announceRepeat is how often an unchanged announcement is repeated, since one may be lost.
// Repeating it as often as changes are checked for would cost more bytes than all other control
// traffic of a large failure domain.
const announceRepeat = 2 * time.Second

// announceShares announces this host's slots again if they have changed or were not announced
// for announceRepeat.
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

// sendAnnouncement sends an announcement to the hosts of this failure domain. If one is lost,
// announceShares sends the next.
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

// releaseSlots ends the use of slots in a planned stop and passes them to the hosts that get
// them next. Otherwise these would wait until the host list shows that this host is gone.
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

// usableSlots returns how many of a backend server's slots this host may use.
func (h *Host) usableSlots(minion string, slots int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.shares.UsableSlots(minion, slots)
}

// rowLimitPart returns this host's part of a row's limit, which applies to the whole cell. The
// parts depend only on the settings and add up to the limit.
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
