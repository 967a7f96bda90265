package burner

import "time"

// Alert says who should look at a burn.
type Alert string

// The alerts.
const (
	AlertNone Alert = "none"
	// AlertTicket is for the next working day.
	AlertTicket Alert = "ticket"
	// AlertPage is for the person on call, at once.
	AlertPage Alert = "page"
)

// longestWindow is the longest window of a report.
const longestWindow = 6 * time.Hour

// windows are the windows of a report, the shortest first.
var windows = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, longestWindow}

// pair is a long window and the short one that ends the alert soon after the
// burn has ended.
type pair struct {
	alert       Alert
	long, short time.Duration
	// rate is the burn rate that both windows must reach.
	rate float64
}

var pairs = []pair{
	{AlertPage, time.Hour, 5 * time.Minute, 14.4},
	{AlertTicket, longestWindow, 30 * time.Minute, 6},
}

// Window is what happened to the statements of a subject in a window.
type Window struct {
	Seconds int64 `json:"seconds"`
	// Statements are those that the objective counts.
	Statements int `json:"statements"`
	Bad        int `json:"bad"`
	// BurnRate is the share of bad statements divided by the budget.
	BurnRate float64 `json:"burn_rate"`
}

// alertOf returns the most urgent alert of a subject's windows.
func alertOf(all []Window) Alert {
	rates := map[int64]float64{}
	for _, w := range all {
		rates[w.Seconds] = w.BurnRate
	}
	for _, p := range pairs {
		if rates[int64(p.long/time.Second)] >= p.rate && rates[int64(p.short/time.Second)] >= p.rate {
			return p.alert
		}
	}
	return AlertNone
}
