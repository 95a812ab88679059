package takeover

import "time"

// Event is what the takeover core is told.
type Event interface{ event() }

// SetWorkers replaces the workers of the failure domain.
type SetWorkers struct{ Names []string }

// SetPeers replaces the live peers of the failure domain.
type SetPeers struct{ Names []string }

// FoundJob tells of a job that this host should lead now and knows nothing about.
type FoundJob struct{ Job string }

// GoneJob tells that a found job ended or has another lead.
type GoneJob struct{ Job string }

// WatchWorkers replaces the workers that tasks of this host's own jobs run on while
// another host, or nobody, holds them.
type WatchWorkers struct{ Workers []string }

// WorkerHeld tells that this host holds a worker and has read its list.
type WorkerHeld struct{ Worker string }

// WorkerLost tells that this host holds a worker no longer.
type WorkerLost struct{ Worker string }

// WorkerContact tells that a worker answered, if only to refuse.
type WorkerContact struct{ Worker string }

// LogRead tells that the log of jobs was read to its end by a question that was
// sent at Asked.
type LogRead struct{ Asked time.Time }

// PeerAnswer is a peer's answer to a question that was sent at Asked: the workers
// that it holds and has read, and which of the found jobs it leads or
// waits for too.
type PeerAnswer struct {
	Host    string
	Asked   time.Time
	Workers []string
	Leads   []string
	Waits   []string
}

// PeerAsked tells that a peer asked for jobs that it waits for itself.
type PeerAsked struct {
	Host string
	Jobs []string
}

// AddKey asks for a census of what runs of a key, which this host is the only one to start from
// now on. It needs no log: nothing of it depends on which jobs there are.
type AddKey struct{ Key string }

// RemoveKey tells that another host may start what the key stands for.
type RemoveKey struct{ Key string }

// Tick lets time pass.
type Tick struct{}

func (SetWorkers) event()    {}
func (SetPeers) event()      {}
func (FoundJob) event()      {}
func (GoneJob) event()       {}
func (WatchWorkers) event()  {}
func (WorkerHeld) event()    {}
func (WorkerLost) event()    {}
func (WorkerContact) event() {}
func (LogRead) event()       {}
func (PeerAnswer) event()    {}
func (PeerAsked) event()     {}
func (AddKey) event()        {}
func (RemoveKey) event()     {}
func (Tick) event()          {}

// Action is what the takeover core asks its edge to do.
type Action interface{ action() }

// AskPeers asks every live peer of the domain for what it holds and leads.
type AskPeers struct{}

// ReleaseJob tells that the census for a job is complete.
type ReleaseJob struct{ Job string }

// ReleaseKey tells that the census for a key is complete.
type ReleaseKey struct{ Key string }

// WorkerSilent tells that a watched worker gave no sign for longer than any lease.
type WorkerSilent struct{ Worker string }

func (AskPeers) action()     {}
func (ReleaseJob) action()   {}
func (ReleaseKey) action()   {}
func (WorkerSilent) action() {}
