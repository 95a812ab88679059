package share

// Event is what the share core is told.
type Event interface{ event() }

// AnnouncementReceived is a word that arrived from another host of the failure domain.
type AnnouncementReceived struct{ Announcement Announcement }

// HostsListed is the platform's list of entry hosts, as it was read just now.
type HostsListed struct{ Names []string }

// Drained tells that no backend server has more of this host's requests than
// this host's share of it.
type Drained struct{}

// Stopping tells that this host begins a planned stop.
type Stopping struct{}

// Tick lets time pass.
type Tick struct{}

func (AnnouncementReceived) event() {}
func (HostsListed) event()          {}
func (Drained) event()              {}
func (Stopping) event()             {}
func (Tick) event()                 {}

// Action is what the share core asks its edge to do.
type Action interface{ action() }

// SlotsChanged tells that Slots gives other numbers now.
type SlotsChanged struct{}

// SendAnnouncement asks to send a word to all hosts of the failure domain at once.
type SendAnnouncement struct{ Announcement Announcement }

func (SlotsChanged) action()     {}
func (SendAnnouncement) action() {}

// Announcement is what a host says of the shares. It may be lost, late or doubled.
type Announcement struct {
	Name        string `json:"name"`
	Incarnation int64  `json:"inc"`
	// Freed holds hosts with the incarnation whose slots the sender neither
	// uses nor will use while that incarnation runs.
	Freed map[string]int64 `json:"freed,omitempty"`
	// Released tells that the sender's slots are in no use any more.
	Released bool `json:"given,omitempty"`
}
