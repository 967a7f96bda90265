package demonstrator

import "fmt"

// ConnectionInfo holds the addresses and credentials of a running fleet.
type ConnectionInfo struct {
	// Entries holds connection strings by entry host; USER and KEY are
	// placeholders for a key id and its key.
	Entries map[string]string `json:"entries"`
	Routes  []string          `json:"routes"`
	// Keys holds keys by key id.
	Keys map[string]string `json:"keys"`
	// Announcements holds the URLs that accept announcements.
	Announcements []string `json:"announcements"`
	AnnounceToken string   `json:"announce_token"`
	// Operators holds the base URLs of the operators' API.
	Operators      []string          `json:"operators"`
	OperatorTokens map[string]string `json:"operator_tokens"`
}

// ConnectionInfo returns the addresses and credentials of the fleet.
func (f *Fleet) ConnectionInfo() ConnectionInfo {
	d := ConnectionInfo{Entries: map[string]string{}, Keys: f.Keys, AnnounceToken: announceToken, OperatorTokens: OperatorTokens}
	first := f.Layout.GroupNames()[0]
	for _, e := range f.Entries {
		d.Entries[e.Host.ID] = fmt.Sprintf("postgres://USER:KEY@%s/%s?sslmode=disable", e.Address, RouteOf(first))
		d.Announcements = append(d.Announcements, "http://"+e.Pages+"/v1/announcements")
	}
	for _, g := range f.Layout.GroupNames() {
		d.Routes = append(d.Routes, RouteOf(g))
	}
	d.Routes = append(d.Routes, OpenRoute)
	for _, c := range f.Controls {
		d.Operators = append(d.Operators, "http://"+c.Pages)
	}
	return d
}
