package cli

import "time"

// checkLogLevel returns a SettingError if the log level is unknown.
func checkLogLevel(level string) error {
	switch level {
	case "debug", "info", "warn", "error":
		return nil
	}
	return &SettingError{Setting: "--log-level", Value: level, Allowed: "debug, info, warn, error"}
}

// checkPositive returns a SettingError unless d is above zero.
func checkPositive(setting string, d time.Duration) error {
	if d > 0 {
		return nil
	}
	return &SettingError{Setting: setting, Value: d.String(), Allowed: "a time above 0, such as 200ms"}
}
