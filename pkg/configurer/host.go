package configurer

import (
	"errors"
	"fmt"
)

// MaxHostNumber is the highest host number. It is limited by the bits that a
// cancel key has for the number.
const MaxHostNumber = 1<<11 - 1

// Host is an entry host of the fleet.
type Host struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	// PeerAddress is the host and port that other hosts connect to.
	PeerAddress string `json:"peer_address,omitempty"`
	// Number is unique within the fleet.
	Number uint32 `json:"number"`
}

// Validate returns an error if a field is missing or out of range.
func (h Host) Validate() error {
	if h.ID == "" || h.DataCentre == "" || h.Region == "" {
		return errors.New("configurer: host needs an id, a data centre and a region")
	}
	if h.Number < 1 || h.Number > MaxHostNumber {
		return fmt.Errorf("configurer: host %s: number must be 1 to %d", h.ID, MaxHostNumber)
	}
	return nil
}
