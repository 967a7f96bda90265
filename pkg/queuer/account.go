package queuer

import "time"

// maxAccounts is the number of accounts from which those without an effect are
// evicted.
const maxAccounts = 512

// accounts holds the attained service of organisations for start-time fair
// queueing. A statement's tag is the service that its organisation has attained
// before it, in seconds of a slot divided by the organisation's weight; the
// lowest tag goes first. An organisation that returns after a pause starts at
// the virtual time, so that the pause earns it neither credit nor debt.
type accounts struct {
	service     map[string]float64
	virtualTime float64
}

// tag returns the tag of an organisation's next statement.
func (a *accounts) tag(organisation string) float64 {
	return max(a.service[organisation], a.virtualTime)
}

// charge adds a granted statement to its organisation's service.
func (a *accounts) charge(organisation string, work time.Duration, weight float64) {
	if a.service == nil {
		a.service = map[string]float64{}
	}
	if len(a.service) >= maxAccounts {
		for o, s := range a.service {
			if s <= a.virtualTime {
				delete(a.service, o)
			}
		}
	}
	a.service[organisation] = a.tag(organisation) + work.Seconds()/weight
}

// advance moves the virtual time to the tag of a statement that starts.
func (a *accounts) advance(tag float64) { a.virtualTime = max(a.virtualTime, tag) }
