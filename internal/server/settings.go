package server

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/shallotstage/shallotstage/pkg/classifier"
	"github.com/shallotstage/shallotstage/pkg/refuser"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

const (
	// settingPrefix is the prefix of the settings that the proxy itself
	// interprets.
	settingPrefix = "shallotstage."
	// settingToken takes a causal token from another session.
	settingToken = settingPrefix + "token"
	// settingMaxAge allows reads of stale data up to a given age.
	settingMaxAge = settingPrefix + "max_age"
)

// checkSetting returns an error when a setting of the proxy has an invalid
// value.
func (c *session) checkSetting(name, value string) error {
	if value == "" || value == "default" {
		return nil
	}
	switch name {
	case settingToken:
		t, err := tracker.ParseCausalToken(value)
		if err != nil {
			return err
		}
		if t.Group != c.group {
			return fmt.Errorf("server: token belongs to group %s", t.Group)
		}
	case settingMaxAge:
		d, err := time.ParseDuration(value)
		if err != nil || d < 0 {
			return fmt.Errorf("server: %s %q must be a duration such as 500ms", name, value)
		}
	}
	return nil
}

// applySetting stores a session setting and applies it when it is one of the
// proxy's.
func (c *session) applySetting(name, value string) error {
	if err := c.checkSetting(name, value); err != nil {
		return refuser.Wrap(refuser.ReasonProtocolViolation, err.Error(), err)
	}
	if value == "" || value == "default" {
		c.resetSetting(name)
		return nil
	}
	c.settings[name] = value
	switch name {
	case settingToken:
		t, err := tracker.ParseCausalToken(value)
		if err != nil {
			return err
		}
		c.raiseFloor(t.Position)
	case settingMaxAge:
		d, err := time.ParseDuration(value)
		if err != nil {
			return err
		}
		c.maxAge = d
	}
	return nil
}

func (c *session) resetSetting(name string) {
	if name == "all" {
		clear(c.settings)
		c.maxAge = 0
		return
	}
	delete(c.settings, name)
	if name == settingMaxAge {
		c.maxAge = 0
	}
}

// raiseFloor makes later reads see all writes up to p. The floor never
// decreases.
func (c *session) raiseFloor(p tracker.Position) {
	c.floorKnown = true
	if c.floor.Less(p) {
		c.floor = p
	}
}

// applyExecutedSettings stores the settings that executed statements changed.
func (c *session) applyExecutedSettings(connSettings map[string]string, executed []classifier.Statement) {
	for _, s := range executed {
		switch {
		case s.Class == classifier.ClassSet && !s.Local:
			_ = c.applySetting(s.Setting, s.Value)
		case s.Class == classifier.ClassReset:
			c.resetSetting(s.Setting)
		default:
			continue
		}
		clear(connSettings)
		for name, value := range c.settings {
			if isReplayed(name) {
				connSettings[name] = value
			}
		}
	}
}

func isReplayed(name string) bool { return !strings.HasPrefix(name, settingPrefix) }

// replaySQL returns the statements that change a connection's settings to the
// session's, or "" when they are the same.
func (c *session) replaySQL(current map[string]string) string {
	var parts []string
	for name := range current {
		if _, ok := c.settings[name]; !ok {
			parts = append(parts, "RESET "+quoteName(name))
		}
	}
	for name, value := range c.settings {
		if old, ok := current[name]; isReplayed(name) && (!ok || old != value) {
			parts = append(parts, "SET "+quoteName(name)+" TO '"+strings.ReplaceAll(value, "'", "''")+"'")
		}
	}
	sort.Strings(parts)
	return strings.Join(parts, "; ")
}

func quoteName(name string) string {
	parts := strings.Split(name, ".")
	for i, p := range parts {
		parts[i] = `"` + strings.ReplaceAll(p, `"`, `""`) + `"`
	}
	return strings.Join(parts, ".")
}
