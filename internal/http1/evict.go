package http1

import "time"

// delay returns for how long a connection has made no progress. It returns false if its request is
// being served, because then the client is not the one to wait for.
func (c *conn) delay(now time.Time) (time.Duration, bool) {
	switch {
	case !c.writingSince.IsZero():
		return now.Sub(c.writingSince), true
	case c.state == serving:
		return 0, false
	default:
		return now.Sub(c.progressAt), true
	}
}

// slowest returns the connection that has made no progress for longest; nil if all are being served.
func slowest(all map[*conn]struct{}, now time.Time) *conn {
	var found *conn
	most := time.Duration(-1)
	for c := range all {
		if d, ok := c.delay(now); ok && d > most {
			found, most = c, d
		}
	}
	return found
}

// heaviest returns the connection whose request has taken most memory for longest without progress; nil
// if no request that is still arriving counts.
func heaviest(all map[*conn]struct{}, now time.Time) *conn {
	var found *conn
	most := -1.0
	for c := range all {
		if c.evicted || c.state != arriving || counted(c.held) == 0 {
			continue
		}
		if w := float64(counted(c.held)) * (now.Sub(c.progressAt) + minDelay).Seconds(); w > most {
			found, most = c, w
		}
	}
	return found
}

// minDelay is added to the time without progress, so that the size decides between requests that are
// all arriving.
const minDelay = 10 * time.Millisecond
