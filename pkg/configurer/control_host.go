package configurer

import "errors"

// ControlHost is a control host of the fleet, whether it takes part in the
// agreement or stands by as a spare.
type ControlHost struct {
	ID string `json:"id"`
	// Instance is the identity of its data folder, which differs when the
	// folder was lost.
	Instance string `json:"instance"`
	// Address is the host and port of its links.
	Address    string `json:"address"`
	DataCentre string `json:"data_centre,omitempty"`
	Region     string `json:"region,omitempty"`
	// Leaving keeps the host out of the agreement.
	Leaving bool `json:"leaving,omitempty"`
	// Successor is the spare that is to take the place of a leaving host;
	// empty lets the fleet choose.
	Successor string `json:"successor,omitempty"`
}

// Validate returns an error when a field is missing.
func (h ControlHost) Validate() error {
	if h.ID == "" || h.Instance == "" || h.Address == "" {
		return errors.New("configurer: control host needs an id, an instance and an address")
	}
	return nil
}
