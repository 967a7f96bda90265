package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"time"

	"crypto/tls"

	"github.com/shallotstage/shallotstage/internal/controller"
	"github.com/shallotstage/shallotstage/internal/operator"
	"github.com/shallotstage/shallotstage/internal/runner"
	"github.com/shallotstage/shallotstage/pkg/configurer"
	"github.com/shallotstage/shallotstage/pkg/planner"
)

// controlCommand runs a control host.
type controlCommand struct {
	ID    string   `arg:"--id,env:SHALLOTSTAGE_CONTROL_ID" help:"name of this control host, unique in the fleet"`
	Data  string   `arg:"--data,env:SHALLOTSTAGE_DATA" default:"data" placeholder:"DIR" help:"data folder"`
	Links string   `arg:"--links,env:SHALLOTSTAGE_LINKS" default:"127.0.0.1:7400" help:"address for entry hosts and other control hosts"`
	Pages string   `arg:"--operators,env:SHALLOTSTAGE_OPERATORS" default:"127.0.0.1:7480" help:"address of the operators' interface"`
	Peers []string `arg:"--peer,separate,env:SHALLOTSTAGE_CONTROL_PEERS" placeholder:"ID=HOST:PORT" help:"another control host; repeat for each"`
	Spare bool     `arg:"--spare,env:SHALLOTSTAGE_SPARE" help:"wait to take the place of a lost control host; needs an empty or its own data folder"`
	linkSettings
	Initial       string        `arg:"--initial,env:SHALLOTSTAGE_INITIAL" placeholder:"FILE" help:"first configuration of a new fleet"`
	Credentials   string        `arg:"--credentials,env:SHALLOTSTAGE_CREDENTIALS" placeholder:"FILE" help:"operators and the digests of their tokens"`
	TLSCert       string        `arg:"--tls-cert,env:SHALLOTSTAGE_OPERATORS_TLS_CERT" placeholder:"FILE" help:"certificate towards operators"`
	TLSKey        string        `arg:"--tls-key,env:SHALLOTSTAGE_OPERATORS_TLS_KEY" placeholder:"FILE" help:"its key"`
	PlatformToken string        `arg:"--platform-token,env:SHALLOTSTAGE_PLATFORM_TOKEN" help:"token for orders to the platform"`
	GroupSize     int           `arg:"--group-size,env:SHALLOTSTAGE_GROUP_SIZE" default:"3" help:"upstreams with which a group forms"`
	LeaseTTL      time.Duration `arg:"--lease,env:SHALLOTSTAGE_LEASE" default:"3s" help:"length of an entry host's lease"`
	SuspectAfter  time.Duration `arg:"--suspect-after,env:SHALLOTSTAGE_SUSPECT_AFTER" default:"600ms" help:"how long a primary is missed before it is replaced"`
	ReplaceAfter  time.Duration `arg:"--replace-after,env:SHALLOTSTAGE_REPLACE_AFTER" default:"2m" help:"silence after which a spare takes the place of a control host; longer than a restart"`
	DataCentre    string        `arg:"--data-centre,env:SHALLOTSTAGE_DATA_CENTRE" help:"data centre of this host; spares of the same one go first"`
	Region        string        `arg:"--region,env:SHALLOTSTAGE_REGION" help:"region of the data centre"`
	LogLevel      string        `arg:"--log-level,env:SHALLOTSTAGE_LOG_LEVEL" default:"info" help:"debug, info, warn or error"`
}

func (c *controlCommand) check() error {
	sizeErr := error(nil)
	if c.GroupSize < 2 {
		sizeErr = &SettingError{Setting: "--group-size", Value: fmt.Sprint(c.GroupSize), Allowed: "2 or more"}
	}
	_, peersErr := c.peers()
	if c.Spare && len(c.Peers) == 0 {
		peersErr = &SettingError{Setting: "--peer", Allowed: "at least one control host, with --spare"}
	}
	return firstError(
		checkNotEmpty("--id", c.ID), checkAddress("--links", c.Links), checkAddress("--operators", c.Pages),
		checkNotEmpty("--platform-token", c.PlatformToken), peersErr, c.linkSettings.check(), sizeErr, checkPositive("--lease", c.LeaseTTL),
		checkPositive("--suspect-after", c.SuspectAfter), checkPositive("--replace-after", c.ReplaceAfter), checkLogLevel(c.LogLevel),
	)
}

// peers returns the addresses of the other control hosts by id.
func (c *controlCommand) peers() (map[string]string, error) {
	peers := map[string]string{}
	for _, p := range c.Peers {
		id, address, ok := strings.Cut(p, "=")
		if _, _, err := net.SplitHostPort(address); err != nil || !ok || id == "" || id == c.ID {
			return nil, &SettingError{Setting: "--peer", Value: p, Allowed: "ID=HOST:PORT of another control host"}
		}
		peers[id] = address
	}
	return peers, nil
}

// initialConfiguration is the content of the file given by --initial.
type initialConfiguration struct {
	Organisations []configurer.Organisation `json:"organisations"`
	Keys          []configurer.Key          `json:"keys"`
	Routes        []configurer.Route        `json:"routes"`
}

// initialOperations returns the operations that create the initial configuration,
// or nil when there is none.
func (c *controlCommand) initialOperations() ([]planner.Operation, error) {
	if c.Initial == "" {
		return nil, nil
	}
	var initial initialConfiguration
	if err := readJSON(c.Initial, &initial); err != nil {
		return nil, err
	}
	o := planner.Operation{Kind: planner.OperationFleetChange, Subject: "fleet", Actor: c.ID, Text: "first configuration"}
	add := func(kind configurer.Kind, id string, entry any) error {
		change, err := configurer.Put(kind, id, entry)
		o.Changes = append(o.Changes, change)
		return err
	}
	for _, e := range initial.Organisations {
		if err := firstError(e.Validate(), add(configurer.KindOrganisation, e.ID, e)); err != nil {
			return nil, err
		}
	}
	for _, e := range initial.Keys {
		if err := firstError(e.Validate(), add(configurer.KindKey, e.ID, e)); err != nil {
			return nil, err
		}
	}
	for _, e := range initial.Routes {
		if err := firstError(e.Validate(), add(configurer.KindRoute, e.ID, e)); err != nil {
			return nil, err
		}
	}
	return []planner.Operation{o}, nil
}

func readJSON(file string, v any) error {
	body, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("cli: read file: %w", err)
	}
	if err := json.Unmarshal(body, v); err != nil {
		return fmt.Errorf("cli: decode %s: %w", file, err)
	}
	return nil
}

func (c *controlCommand) run(ctx context.Context, _, _ io.Writer) error {
	log, link, err := newLoggerAndLinker(c.LogLevel, c.linkSettings)
	if err != nil {
		return err
	}
	initialOperations, err := c.initialOperations()
	if err != nil {
		return err
	}
	var credentials []operator.Credential
	if c.Credentials != "" {
		if err := readJSON(c.Credentials, &credentials); err != nil {
			return err
		}
	}
	peers, err := c.peers()
	if err != nil {
		return err
	}
	linkListener, err := listen("--links", c.Links)
	if err != nil {
		return err
	}
	operatorListener, err := listen("--operators", c.Pages)
	if err != nil {
		return err
	}
	operatorsTLS, err := serverTLS(c.TLSCert, c.TLSKey)
	if err != nil {
		return err
	}
	if operatorsTLS != nil {
		operatorListener = tls.NewListener(operatorListener, operatorsTLS)
	}
	var voters []string
	if !c.Spare {
		voters = append(voters, c.ID)
		for id := range peers {
			voters = append(voters, id)
		}
	}
	ctl := &controller.Controller{
		ID: c.ID, DataDir: c.Data, Initial: voters, Seed: initialOperations, GroupSize: c.GroupSize, PlatformToken: c.PlatformToken,
		Timing: controller.Timing{LeaseTTL: c.LeaseTTL, SuspectAfter: c.SuspectAfter, ReplaceAfter: c.ReplaceAfter}, Log: log,
	}
	h := &runner.ControlHost{
		Controller: ctl, Peers: peers, IsSpare: c.Spare, DataCentre: c.DataCentre, Region: c.Region, Linker: link, Log: log,
		Pages: operator.Handler{Controller: ctl, Credentials: credentials}.Routes(),
	}
	if err := h.Prepare(); err != nil {
		return err
	}
	return h.Run(ctx, linkListener, operatorListener)
}
