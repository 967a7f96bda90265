package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/shallotstage/shallotstage/internal/requester"
	"github.com/shallotstage/shallotstage/pkg/planner"
)

// requestTimeout is the timeout of a client's call, over all control hosts that
// it tries.
const requestTimeout = 10 * time.Second

// Client is a client of the operator API. It tries the control hosts in turn
// until the leader answers.
type Client struct {
	// Addresses are the base URLs of the control hosts.
	Addresses []string
	Token     string
	HTTP      *http.Client
}

// ResponseError is an error response of a control host.
type ResponseError struct {
	Status int
	Answer ErrorResponse
}

// Error implements error.
func (e *ResponseError) Error() string {
	return fmt.Sprintf("operator: refused with HTTP status %d, verdict %s: %s", e.Status, e.Answer.Verdict, e.Answer.Error)
}

// errNoAddresses means that the client has no address of a control host.
var errNoAddresses = errors.New("operator: no address of a control host is given")

// SubmitIntent submits an intent. Submitting the same intent again is safe.
func (c *Client) SubmitIntent(ctx context.Context, i planner.Intent) (PlanResponse, error) {
	var a PlanResponse
	return a, c.call(ctx, http.MethodPost, "/v1/intents", i, &a)
}

// Plan returns the plan with the given ID.
func (c *Client) Plan(ctx context.Context, id string) (PlanResponse, error) {
	var a PlanResponse
	return a, c.call(ctx, http.MethodGet, "/v1/plans/"+url.PathEscape(id), nil, &a)
}

// ActOnPlan comments on, confirms or rejects a plan; verb is "comments",
// "confirm" or "reject".
func (c *Client) ActOnPlan(ctx context.Context, id, verb, text string) (PlanResponse, error) {
	var a PlanResponse
	return a, c.call(ctx, http.MethodPost, "/v1/plans/"+url.PathEscape(id)+"/"+verb, Remark{Text: text}, &a)
}

// Records returns the newest records, or all records of one subject if it is not
// empty.
func (c *Client) Records(ctx context.Context, subject string) ([]planner.Record, error) {
	var records []planner.Record
	path := "/v1/record"
	if subject != "" {
		path += "?explain=" + url.QueryEscape(subject)
	}
	return records, c.call(ctx, http.MethodGet, path, nil, &records)
}

// ArchivedRecords returns the records of an archived page, or none if there is
// no such page.
func (c *Client) ArchivedRecords(ctx context.Context, number int) ([]planner.Record, error) {
	var records []planner.Record
	err := c.call(ctx, http.MethodGet, fmt.Sprintf("/v1/record?page=%d", number), nil, &records)
	var refused *ResponseError
	if errors.As(err, &refused) && refused.Status == http.StatusNotFound {
		return nil, nil
	}
	return records, err
}

// ServiceLevels returns the configured service levels.
func (c *Client) ServiceLevels(ctx context.Context) (ServiceLevels, error) {
	var l ServiceLevels
	return l, c.call(ctx, http.MethodGet, "/v1/levels", nil, &l)
}

// call sends a request to the control hosts in turn until one responds with
// another status than 421 (Misdirected Request).
func (c *Client) call(ctx context.Context, method, path string, body, result any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	lastErr := errNoAddresses
	for _, address := range c.Addresses {
		err := c.send(ctx, method, address+path, body, result)
		var refused *ResponseError
		if err == nil || errors.As(err, &refused) && refused.Status != http.StatusMisdirectedRequest {
			return err
		}
		lastErr = err
	}
	return lastErr
}

func (c *Client) send(ctx context.Context, method, target string, body, result any) error {
	err := requester.Requester{Token: c.Token, HTTP: c.HTTP}.Do(ctx, method, target, body, result)
	var status *requester.StatusError
	if !errors.As(err, &status) {
		return err
	}
	refused := &ResponseError{Status: status.Status}
	_ = json.Unmarshal(status.Body, &refused.Answer)
	return refused
}
