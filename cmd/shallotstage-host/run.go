package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/platform"
)

// exitUsage is the status after a wrong argument or setting.
const exitUsage = 2

// arguments are the program's own settings. The platform's come from its file.
type arguments struct {
	Entry   *struct{} `arg:"subcommand:entry" help:"serve callers"`
	Control *struct{} `arg:"subcommand:control" help:"agree on configuration, upstreams and primaries"`
	Config  string    `arg:"--config,env:SHALLOTSTAGE_CONFIG" help:"path of the platform's settings file"`
	Level   string    `arg:"--log-level,env:SHALLOTSTAGE_LOG_LEVEL" default:"info" help:"debug, info, warn or error"`
	Lines   int       `arg:"--log-lines,env:SHALLOTSTAGE_LOG_LINES" default:"200" help:"lines of one event a second; 0 means no bound"`
}

// Description implements go-arg.
func (arguments) Description() string {
	return "One host of a shallotstage fleet on the users' platform."
}

func run() int {
	var args arguments
	p := arg.MustParse(&args)
	if p.Subcommand() == nil {
		p.WriteHelp(os.Stderr)
		return exitUsage
	}
	settings, err := platform.ReadSettings(args.Config)
	if err == nil && args.Lines < 0 {
		err = fmt.Errorf("--log-lines is %d, want 0 or more", args.Lines)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	logCtx, stopLog := context.WithCancel(context.Background())
	log, flush, err := logger.OpenBounded(logCtx, &logger.Bounded{PerSecond: args.Lines}, os.Stdout, args.Level)
	if err != nil {
		stopLog()
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	defer func() {
		stopLog()
		flush()
	}()
	log = log.With(zap.String("node", settings.Node))
	live := &liveSettings{path: args.Config, log: log}
	live.current.Store(&settings)
	go live.follow(ctx)
	if args.Entry != nil {
		err = entry(live, log).Run(ctx)
	} else {
		err = control(live, log).Run(ctx)
	}
	if err != nil {
		log.Error(logger.EventStopped, zap.Error(err))
		return 1
	}
	return 0
}

// pollInterval is the time between looks at the settings file, which may change
// without a signal.
const pollInterval = 2 * time.Second

// liveSettings follow the settings file.
type liveSettings struct {
	path    string
	log     *logger.Logger
	current atomic.Pointer[platform.Settings]
}

// seedPeers returns the seeds as the file of now names them.
func (l *liveSettings) seedPeers() []string { return l.current.Load().SeedPeers() }

// platformAddress returns where the platform takes calls.
func (l *liveSettings) platformAddress() string { return l.current.Load().PlatformAddress }

// follow reads the file again on SIGHUP and at an interval.
func (l *liveSettings) follow(ctx context.Context) {
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	defer signal.Stop(hangUps)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	last := fileState(l.path)
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hangUps:
			signalled = true
		case <-ticker.C:
		}
		now := fileState(l.path)
		if now == last && !signalled {
			continue
		}
		last = now
		l.read(signalled)
	}
}

func (l *liveSettings) read(signalled bool) {
	settings, err := platform.ReadSettings(l.path)
	if err != nil {
		l.log.Warn(logger.EventSettingsBad, zap.Error(err))
		return
	}
	l.current.Store(&settings)
	l.log.Info(logger.EventSettingsRead, zap.Bool("signalled", signalled), zap.Strings("seeds", settings.Seeds))
}

// fileState tells one content of a file from another.
func fileState(path string) string {
	info, err := os.Stat(path)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprint(info.ModTime().UnixNano(), info.Size())
}

// promotionClient calls the platform. A silent connection costs one call.
var promotionClient = &http.Client{Transport: &http.Transport{
	DialContext:         (&net.Dialer{Timeout: 500 * time.Millisecond}).DialContext,
	DisableKeepAlives:   true,
	TLSHandshakeTimeout: time.Second,
}}
