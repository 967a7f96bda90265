package configurer

import (
	"errors"
	"fmt"
)

// Organisation is whoever callers act for; its callers share one rate.
type Organisation struct {
	ID string `json:"id"`
	// Rate is in statements a second over all hosts together.
	Rate float64 `json:"rate"`
	// Burst is in statements over all hosts together.
	Burst float64 `json:"burst"`
}

// Validate returns an error when a field is out of range.
func (o Organisation) Validate() error {
	if o.ID == "" {
		return errors.New("configurer: organisation has no id")
	}
	if !(o.Rate > 0) || !(o.Burst >= 1) {
		return fmt.Errorf("configurer: organisation %s: rate must be above 0 and burst at least 1", o.ID)
	}
	return nil
}
