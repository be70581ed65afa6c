package crankclient

import (
	"context"
	"net/http"
	"net/url"

	"cranberrycrank/pkg/crankapi"
)

// Config returns the configuration in force and its history.
func (c *Client) Config(ctx context.Context) (crankapi.PublishedConfig, error) {
	var p crankapi.PublishedConfig
	err := c.callJSON(ctx, "config show", http.MethodGet, "/v1/ops/config", nil, &p)
	return p, err
}

// Publish validates and replaces the configuration.
func (c *Client) Publish(ctx context.Context, r crankapi.PublishRequest) (crankapi.Confirmation, error) {
	var confirmation crankapi.Confirmation
	err := c.callJSON(ctx, "config publish", http.MethodPost, "/v1/ops/config", r, &confirmation)
	return confirmation, err
}

// Zones returns the service state of all availability zones.
func (c *Client) Zones(ctx context.Context) ([]crankapi.Zone, error) {
	var zones []crankapi.Zone
	err := c.callJSON(ctx, "zone list", http.MethodGet, "/v1/ops/zones", nil, &zones)
	return zones, err
}

// SetZone takes an availability zone out of service or brings it back.
func (c *Client) SetZone(ctx context.Context, zone string, r crankapi.ZoneRequest) (crankapi.Confirmation, error) {
	var confirmation crankapi.Confirmation
	err := c.callJSON(ctx, "zone set", http.MethodPost, "/v1/ops/zones/"+url.PathEscape(zone), r, &confirmation)
	return confirmation, err
}

// Workers returns all known workers.
func (c *Client) Workers(ctx context.Context) ([]crankapi.Worker, error) {
	var workers []crankapi.Worker
	err := c.callJSON(ctx, "worker list", http.MethodGet, "/v1/ops/workers", nil, &workers)
	return workers, err
}

// Jobs returns the jobs in a state: waiting, active, ended, or "" for all.
func (c *Client) Jobs(ctx context.Context, state string) ([]crankapi.Job, error) {
	var jobs []crankapi.Job
	err := c.callJSON(ctx, "job list", http.MethodGet, "/v1/ops/jobs?state="+url.QueryEscape(state), nil, &jobs)
	return jobs, err
}

// Explain returns where a job runs, or why it waits.
func (c *Client) Explain(ctx context.Context, id string) (crankapi.JobDetail, error) {
	var job crankapi.JobDetail
	err := c.callJSON(ctx, "job explain", http.MethodGet, "/v1/ops/jobs/"+url.PathEscape(id), nil, &job)
	return job, err
}

// Burn returns the burn rates of the error budgets.
func (c *Client) Burn(ctx context.Context) (crankapi.BurnReport, error) {
	var report crankapi.BurnReport
	err := c.callJSON(ctx, "report burn", http.MethodGet, "/v1/ops/burn", nil, &report)
	return report, err
}
