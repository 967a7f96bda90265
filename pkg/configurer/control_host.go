package configurer

import "errors"

// ControlHost is a control host of the fleet. It is either a voter of the
// consensus group or a spare.
type ControlHost struct {
	ID string `json:"id"`
	// Instance identifies the host's data directory. It changes if the directory
	// is lost.
	Instance string `json:"instance"`
	// Address is the host and port that other hosts connect to.
	Address    string `json:"address"`
	DataCentre string `json:"data_centre,omitempty"`
	Region     string `json:"region,omitempty"`
	// Leaving excludes the host from the voters.
	Leaving bool `json:"leaving,omitempty"`
	// Successor is the spare that replaces a leaving host. If it is empty, the
	// fleet chooses one.
	Successor string `json:"successor,omitempty"`
}

// Validate returns an error if a field is missing.
func (h ControlHost) Validate() error {
	if h.ID == "" || h.Instance == "" || h.Address == "" {
		return errors.New("configurer: control host needs an id, an instance and an address")
	}
	return nil
}
