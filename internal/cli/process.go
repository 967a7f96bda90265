package cli

import (
	"github.com/shallotstage/shallotstage/internal/linker"
	"github.com/shallotstage/shallotstage/internal/logger"
)

// openProcess returns the log and the connections of a process of the fleet.
func openProcess(level string, s linkSettings) (*logger.Logger, linker.Linker, error) {
	log, err := logger.Open(level)
	if err != nil {
		return nil, linker.Linker{}, err
	}
	link, err := s.linker()
	return log, link, err
}
