package cli

import (
	"github.com/shallotstage/shallotstage/internal/linker"
	"github.com/shallotstage/shallotstage/internal/logger"
)

// newLoggerAndLinker creates the logger of a process and the linker for its
// connections to the rest of the fleet.
func newLoggerAndLinker(level string, s linkSettings) (*logger.Logger, linker.Linker, error) {
	log, err := logger.Open(level)
	if err != nil {
		return nil, linker.Linker{}, err
	}
	link, err := s.linker()
	return log, link, err
}
