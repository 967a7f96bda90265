package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/shallotstage/shallotstage/internal/operator"
	"github.com/shallotstage/shallotstage/pkg/planner"
)

// operatorSettings holds the settings of every command that calls the operator API
// of the control hosts.
type operatorSettings struct {
	Controls []string `arg:"--control,separate,env:SHALLOTSTAGE_OPERATOR_CONTROLS" placeholder:"URL" help:"base URL of a control host; repeat for each"`
	Token    string   `arg:"--token,env:SHALLOTSTAGE_OPERATOR_TOKEN" help:"the operator's token"`
}

func (s operatorSettings) check() error {
	if len(s.Controls) == 0 {
		return &SettingError{Setting: "--control", Allowed: "at least one URL such as https://127.0.0.1:7480"}
	}
	return checkNotEmpty("--token", s.Token)
}

func (s operatorSettings) client() *operator.Client {
	return &operator.Client{Addresses: s.Controls, Token: s.Token}
}

func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return fmt.Errorf("cli: write answer: %w", err)
	}
	return nil
}

// intentCommand submits an intent and prints its plan.
type intentCommand struct {
	operatorSettings
	ID            string   `arg:"--id,required" help:"the intent's id; the same id gets the same answer"`
	Kind          string   `arg:"positional,required" help:"admit_organisation, withdraw_organisation, change_rate, grant_key, withdraw_key, put_route, remove_route, drain_upstream, return_upstream, put_objective, remove_objective, replace_control_host, return_control_host or forget_control_host"`
	Target        string   `arg:"positional,required" help:"id of the organisation, key, route, upstream, control host or objective (organisation/route, * for any)"`
	Organisation  string   `arg:"--organisation"`
	Rate          float64  `arg:"--rate" help:"statements a second"`
	Burst         float64  `arg:"--burst" help:"statements"`
	Group         string   `arg:"--group"`
	Open          bool     `arg:"--open"`
	Organisations []string `arg:"--admit,separate" help:"organisation that a route admits; repeat for each"`
	Availability  float64  `arg:"--availability" help:"share of statements that must be served, such as 0.999"`
	LatencyMS     uint32   `arg:"--latency-ms" help:"time above which a served statement counts against the objective"`
	Successor     string   `arg:"--successor" help:"spare control host that is to take the place"`
	Reason        string   `arg:"--reason" help:"why, for the reviewer and the record"`
}

func (c *intentCommand) check() error { return c.operatorSettings.check() }

func (c *intentCommand) run(ctx context.Context, stdout, _ io.Writer) error {
	response, err := c.client().SubmitIntent(ctx, planner.Intent{
		ID: c.ID, Kind: planner.IntentKind(c.Kind), Target: c.Target, Organisation: c.Organisation, Rate: c.Rate, Burst: c.Burst,
		Group: c.Group, Open: c.Open, Organisations: c.Organisations,
		Availability: c.Availability, LatencyMS: c.LatencyMS, Successor: c.Successor, Reason: c.Reason,
	})
	if err != nil {
		return err
	}
	return printJSON(stdout, response)
}

// planCommand prints a plan, or comments on, confirms or rejects it.
type planCommand struct {
	operatorSettings
	Verb string `arg:"positional,required" help:"show, comment, confirm or reject"`
	ID   string `arg:"positional,required" help:"the intent's id"`
	Text string `arg:"--text" help:"the comment, or the reason of a rejection"`
}

// planVerbs maps the verbs of planCommand to URL paths relative to the
// plan.
var planVerbs = map[string]string{"show": "", "comment": "comments", "confirm": "confirm", "reject": "reject"}

func (c *planCommand) check() error {
	if _, ok := planVerbs[c.Verb]; !ok {
		return &SettingError{Setting: "VERB", Value: c.Verb, Allowed: "show, comment, confirm, reject"}
	}
	return c.operatorSettings.check()
}

func (c *planCommand) run(ctx context.Context, stdout, _ io.Writer) error {
	var response operator.PlanResponse
	var err error
	if c.Verb == "show" {
		response, err = c.client().Plan(ctx, c.ID)
	} else {
		response, err = c.client().ActOnPlan(ctx, c.ID, planVerbs[c.Verb], c.Text)
	}
	if err != nil {
		return err
	}
	return printJSON(stdout, response)
}

// recordCommand prints the record of changes.
type recordCommand struct {
	operatorSettings
	Explain string `arg:"--explain" placeholder:"ID" help:"tell the story of one plan, group, upstream or host"`
	All     bool   `arg:"--all" help:"begin with the oldest record instead of the newest few thousand"`
}

func (c *recordCommand) check() error { return c.operatorSettings.check() }

func (c *recordCommand) run(ctx context.Context, stdout, _ io.Writer) error {
	for page := 0; c.All && c.Explain == ""; page++ {
		records, err := c.client().ArchivedRecords(ctx, page)
		if err != nil {
			return err
		}
		if len(records) == 0 {
			break
		}
		if err := printRecords(stdout, records); err != nil {
			return err
		}
	}
	records, err := c.client().Records(ctx, c.Explain)
	if err != nil {
		return err
	}
	return printRecords(stdout, records)
}

func printRecords(stdout io.Writer, records []planner.Record) error {
	for _, r := range records {
		if _, err := fmt.Fprintf(stdout, "%6d  %s  %-10s  %-24s  %-12s  %s\n", r.Index, r.At, r.Kind, r.Subject, r.Actor, r.Text); err != nil {
			return fmt.Errorf("cli: write record: %w", err)
		}
	}
	return nil
}
