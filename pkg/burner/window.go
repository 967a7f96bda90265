package burner

import "time"

// Alert is the urgency of a burn rate.
type Alert string

// Levels of alerts.
const (
	AlertNone Alert = "none"
	// AlertTicket should be handled on the next working day.
	AlertTicket Alert = "ticket"
	// AlertPage should page the person on call immediately.
	AlertPage Alert = "page"
)

// longestWindow is the longest window of a report, and how long counts are kept.
const longestWindow = 6 * time.Hour

// windows are the windows of a report in ascending order.
var windows = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, longestWindow}

// alertRule raises an alert from a long and a short window. The short window ends
// the alert soon after the burn rate has dropped.
type alertRule struct {
	alert       Alert
	long, short time.Duration
	// rate is the burn rate that both windows must reach or exceed.
	rate float64
}

var alertRules = []alertRule{
	{AlertPage, time.Hour, 5 * time.Minute, 14.4},
	{AlertTicket, longestWindow, 30 * time.Minute, 6},
}

// Window holds the counts and the burn rate of a subject in one window.
type Window struct {
	Seconds int64 `json:"seconds"`
	// Statements is the number of statements that count against the objective.
	Statements int `json:"statements"`
	Bad        int `json:"bad"`
	// BurnRate is the fraction of bad statements divided by the error budget.
	BurnRate float64 `json:"burn_rate"`
}

// alertOf returns the most urgent alert that the windows of a subject raise.
func alertOf(all []Window) Alert {
	rates := map[int64]float64{}
	for _, w := range all {
		rates[w.Seconds] = w.BurnRate
	}
	for _, rule := range alertRules {
		if rates[int64(rule.long/time.Second)] >= rule.rate && rates[int64(rule.short/time.Second)] >= rule.rate {
			return rule.alert
		}
	}
	return AlertNone
}
