package cli

// checkLogLevel returns a SettingError for an unknown level.
func checkLogLevel(level string) error {
	switch level {
	case "debug", "info", "warn", "error":
		return nil
	}
	return &SettingError{Setting: "--log-level", Value: level, Allowed: "debug, info, warn, error"}
}
