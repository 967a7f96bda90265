package loader

import (
	"fmt"
	"time"
)

// Profile describes the load of a run. Shares are fractions of all requests;
// requests that are not writes are reads.
type Profile struct {
	// Rate is the number of requests per second of all callers together. The
	// times between requests are exponentially distributed.
	Rate float64 `json:"rate"`
	// Callers is the number of concurrent connections.
	Callers int `json:"callers"`
	// WriteShare is the share of writes.
	WriteShare float64 `json:"write_share"`
	// ReconnectShare is the share of requests before which a caller reconnects to
	// the next URL.
	ReconnectShare  float64 `json:"roam_share"`
	DurationSeconds float64 `json:"duration_seconds"`
	// MaxStalenessMS is the staleness that reads accept, in milliseconds. With
	// 0, reads must return the acknowledged writes of their caller.
	MaxStalenessMS int `json:"max_age_ms"`
}

func (p Profile) duration() time.Duration {
	return time.Duration(p.DurationSeconds * float64(time.Second))
}

func (p Profile) maxAge() time.Duration { return time.Duration(p.MaxStalenessMS) * time.Millisecond }

// Validate returns an error if a field is out of range.
func (p Profile) Validate() error {
	if !(p.Rate > 0) || p.Callers < 1 || p.DurationSeconds <= 0 {
		return fmt.Errorf("loader: rate, callers and duration must be above 0")
	}
	for _, share := range []float64{p.WriteShare, p.ReconnectShare} {
		if share < 0 || share > 1 {
			return fmt.Errorf("loader: share %g must be between 0 and 1", share)
		}
	}
	return nil
}
