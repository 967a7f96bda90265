package configurer

import (
	"errors"
	"fmt"
)

// Organisation is an owner of keys and of one rate limit: it holds its id and
// the limit, and each of its keys names that id. All its clients share the limit.
type Organisation struct {
	ID string `json:"id"`
	// Rate is the limit in statements per second, summed over all hosts.
	Rate float64 `json:"rate"`
	// Burst is the burst size in statements, summed over all hosts.
	Burst float64 `json:"burst"`
}

// Validate returns an error if a field is missing or out of range.
func (o Organisation) Validate() error {
	if o.ID == "" {
		return errors.New("configurer: organisation has no id")
	}
	if !(o.Rate > 0) || !(o.Burst >= 1) {
		return fmt.Errorf("configurer: organisation %s: rate must be above 0 and burst at least 1", o.ID)
	}
	return nil
}
