package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/platform"
)

// exitUsage is the exit status for invalid arguments or settings.
const exitUsage = 2

// arguments are the program's own command-line arguments. The settings of the
// platform come from its settings file.
type arguments struct {
	Entry        *struct{}              `arg:"subcommand:entry" help:"serve callers"`
	Control      *struct{}              `arg:"subcommand:control" help:"agree on configuration, upstreams and primaries"`
	RouteExplain *routeExplainArguments `arg:"subcommand:route-explain" help:"ask a running entry host where a request would go now, and why"`
	Config       string                 `arg:"--config,env:SHALLOTSTAGE_CONFIG" help:"path of the platform's settings file"`
	Level        string                 `arg:"--log-level,env:SHALLOTSTAGE_LOG_LEVEL" default:"info" help:"debug, info, warn or error"`
	Lines        int                    `arg:"--log-lines,env:SHALLOTSTAGE_LOG_LINES" default:"200" help:"lines of one event a second; 0 means no bound"`
}

// Description implements the Described interface of go-arg.
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
	if args.RouteExplain != nil {
		return explainRoute(args.RouteExplain)
	}
	// Hang-ups are handled from the first moment until the process ends: the default
	// action would end it while callers wait for their answers.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
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
	log, flush, err := logger.OpenRateLimited(logCtx, &logger.RateLimitedWriter{MaxLinesPerSecond: args.Lines}, os.Stdout, args.Level)
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
	limitMemory(settings.MemoryBytes)
	watcher := &settingsWatcher{path: args.Config, log: log}
	watcher.use(settings)
	go watcher.watch(hangups)
	if args.Entry != nil {
		err = newEntryHost(watcher, log).Run(ctx)
	} else {
		err = newControlHost(watcher, log).Run(ctx)
	}
	if err != nil {
		log.Error(logger.EventStopped, zap.Error(err))
		return 1
	}
	return 0
}

// heapFraction is the part of a host's memory above which the collector works harder. The
// rest is for what it does not see, such as buffers of the system's connections.
const heapFraction = 0.7

// limitMemory makes the garbage collector keep within the memory of the host, which ends a
// process that uses more; zero means that there is no limit.
func limitMemory(hostBytes int64) {
	if hostBytes > 0 {
		debug.SetMemoryLimit(int64(heapFraction * float64(hostBytes)))
	}
}

// pollInterval is the interval at which the settings file is checked for changes.
// It may change without a SIGHUP.
const pollInterval = 2 * time.Second

// settingsWatcher holds the current settings and reloads them when the settings
// file changes.
type settingsWatcher struct {
	path    string
	log     *logger.Logger
	current atomic.Pointer[platform.Settings]
}

// seedPeers returns the peer addresses of the current seeds.
func (w *settingsWatcher) seedPeers() []string { return w.current.Load().SeedPeers() }

// platformAddress returns the current address of the platform's API.
func (w *settingsWatcher) platformAddress() string { return w.current.Load().PlatformAddress }

// watch reloads the settings on a hang-up and when polling finds a changed file, until
// the process ends.
func (w *settingsWatcher) watch(hangups <-chan os.Signal) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	last := fileVersion(w.path)
	for {
		signalled := false
		select {
		case <-hangups:
			signalled = true
		case <-ticker.C:
		}
		now := fileVersion(w.path)
		if now == last && !signalled {
			continue
		}
		last = now
		w.reload(signalled)
	}
}

// use makes settings the current ones and logs what they leave out.
func (w *settingsWatcher) use(settings platform.Settings) {
	for _, e := range settings.Ignored {
		w.log.Warn(logger.EventEntryIgnored, zap.String("part", "settings"), zap.Error(e))
	}
	w.current.Store(&settings)
}

func (w *settingsWatcher) reload(signalled bool) {
	settings, err := platform.ReadSettings(w.path)
	if err != nil {
		w.log.Warn(logger.EventSettingsRefused, zap.Error(err))
		return
	}
	w.use(settings)
	w.log.Info(logger.EventSettingsRead, zap.Bool("signalled", signalled), zap.Strings("seeds", settings.Seeds))
}

// fileVersion identifies a version of a file by its modification time and size.
func fileVersion(path string) string {
	info, err := os.Stat(path)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprint(info.ModTime().UnixNano(), info.Size())
}

// promotionDialer opens a connection for each promotion request, so that an unresponsive
// one fails only that request.
var promotionDialer = net.Dialer{Timeout: 500 * time.Millisecond}
