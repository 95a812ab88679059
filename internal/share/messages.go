package share

// Event is an input of the share state machine.
type Event interface{ event() }

// AnnouncementReceived is an announcement of another host of the failure domain.
type AnnouncementReceived struct{ Announcement Announcement }

// HostsListed is the platform's list of entry hosts that was just read.
type HostsListed struct{ Names []string }

// Drained reports that no backend server has more of this host's requests than this host's share of
// its slots.
type Drained struct{}

// Stopping reports that this host begins a planned stop.
type Stopping struct{}

// Tick only advances the time.
type Tick struct{}

func (AnnouncementReceived) event() {}
func (HostsListed) event()          {}
func (Drained) event()              {}
func (Stopping) event()             {}
func (Tick) event()                 {}

// Action is a request of the share state machine to its caller.
type Action interface{ action() }

// SlotsChanged reports that UsableSlots returns other numbers now.
type SlotsChanged struct{}

// SendAnnouncement asks to send an announcement to all hosts of the failure domain at once.
type SendAnnouncement struct{ Announcement Announcement }

func (SlotsChanged) action()     {}
func (SendAnnouncement) action() {}

// Announcement is what a host tells the other hosts about its slots. It may be lost, delayed or
// duplicated.
type Announcement struct {
	Name        string `json:"name"`
	Incarnation int64  `json:"inc"`
	// Freed holds hosts by name and incarnation. The sender neither uses nor will use the slots of
	// such a host while that incarnation runs.
	Freed map[string]int64 `json:"freed,omitempty"`
	// Released reports that the sender's slots are no longer in use.
	Released bool `json:"given,omitempty"`
}
