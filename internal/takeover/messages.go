package takeover

import "time"

// Event is an input of the takeover state machine.
type Event interface{ event() }

// SetWorkers replaces the workers of the failure domain.
type SetWorkers struct{ Names []string }

// SetPeers replaces the live peers of the failure domain.
type SetPeers struct{ Names []string }

// FoundJob reports a job that this host should lead now and knows nothing about.
type FoundJob struct{ Job string }

// GoneJob reports that a found job ended or has another leader.
type GoneJob struct{ Job string }

// WatchWorkers replaces the workers that run tasks of this host's own jobs while another host, or
// no host, holds these workers.
type WatchWorkers struct{ Workers []string }

// WorkerHeld reports that this host holds a worker and has read its list.
type WorkerHeld struct{ Worker string }

// WorkerLost reports that this host no longer holds a worker.
type WorkerLost struct{ Worker string }

// ListIncomplete reports that a worker's last list may lack starts of a job that this host dropped.
type ListIncomplete struct{ Worker string }

// ListComplete reports that a worker's last list shows all starts that this host sent.
type ListComplete struct{ Worker string }

// WorkerContact reports that a worker answered, even if only to refuse.
type WorkerContact struct{ Worker string }

// LogRead reports that the log of jobs was read to its end by a request that was sent at Asked.
type LogRead struct{ Asked time.Time }

// PeerAnswer is a peer's answer to a request that was sent at Asked. Workers are those that the
// peer holds and has read. Leads and Waits are those of the found jobs that it leads, or takes over
// too.
type PeerAnswer struct {
	Host    string
	Asked   time.Time
	Workers []string
	Leads   []string
	Waits   []string
}

// PeerAsked reports that a peer asked about jobs whose takeover it waits for itself.
type PeerAsked struct {
	Host string
	Jobs []string
}

// AddKey requests an inventory of the tasks that run for a key. From now on this host is the only
// one that starts tasks for the key. The log is not needed, since nothing here depends on which
// jobs exist.
type AddKey struct{ Key string }

// RemoveKey reports that another host may start tasks for the key.
type RemoveKey struct{ Key string }

// Tick only advances the time.
type Tick struct{}

func (SetWorkers) event()     {}
func (SetPeers) event()       {}
func (FoundJob) event()       {}
func (GoneJob) event()        {}
func (WatchWorkers) event()   {}
func (WorkerHeld) event()     {}
func (WorkerLost) event()     {}
func (ListIncomplete) event() {}
func (ListComplete) event()   {}
func (WorkerContact) event()  {}
func (LogRead) event()        {}
func (PeerAnswer) event()     {}
func (PeerAsked) event()      {}
func (AddKey) event()         {}
func (RemoveKey) event()      {}
func (Tick) event()           {}

// Action is a request of the takeover state machine to its caller.
type Action interface{ action() }

// AskPeers asks every live peer of the domain what it holds and leads.
type AskPeers struct{}

// ReleaseJob reports that the inventory for a job is complete.
type ReleaseJob struct{ Job string }

// ReleaseKey reports that the inventory for a key is complete.
type ReleaseKey struct{ Key string }

// WorkerSilent reports that a watched worker was silent for longer than any lease.
type WorkerSilent struct{ Worker string }

func (AskPeers) action()     {}
func (ReleaseJob) action()   {}
func (ReleaseKey) action()   {}
func (WorkerSilent) action() {}
