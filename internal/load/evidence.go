package load

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Sources lists where to read the evidence of a run. Empty fields are skipped.
type Sources struct {
	Engines  []string                 // "IP:port" of each simulated engine
	Services []string                 // "IP:port" of each simulated service
	Budgets  func() ([]Budget, error) // reads the budgets from the store
	// PriorRuns holds the request IDs that engines reported before the load run. They are
	// excluded from the evidence.
	PriorRuns map[string]int
}

// Empty reports whether there is nothing to read.
func (s Sources) Empty() bool {
	return len(s.Engines) == 0 && len(s.Services) == 0 && s.Budgets == nil
}

// GatherEvidence reads the evidence from its sources.
func (c *Client) GatherEvidence(sources Sources) (Evidence, error) {
	var evidence Evidence
	var err error
	if evidence.EngineRuns, err = c.EngineRuns(sources.Engines); err != nil {
		return Evidence{}, err
	}
	for request := range sources.PriorRuns {
		delete(evidence.EngineRuns, request)
	}
	if evidence.ServiceRuns, err = c.serviceRuns(sources.Services); err != nil {
		return Evidence{}, err
	}
	if sources.Budgets == nil {
		return evidence, nil
	}
	evidence.Budgets, err = sources.Budgets()
	return evidence, err
}

// engineRunsResponse is the response of a simulated engine to GET /v1/runs.
type engineRunsResponse struct {
	Runs []struct {
		Request  string `json:"request"`
		Attempts []struct {
			Start int `json:"start"` // 0: never started
		} `json:"attempts"`
	} `json:"runs"`
}

// EngineRuns returns how many attempts the engines started per request ID, or nil if
// there are no addresses.
func (c *Client) EngineRuns(addresses []string) (map[string]int, error) {
	if len(addresses) == 0 {
		return nil, nil
	}
	counts := map[string]int{}
	for _, address := range addresses {
		var response engineRunsResponse
		if err := c.getJSON("http://"+address+"/v1/runs", "", &response); err != nil {
			return nil, err
		}
		for _, run := range response.Runs {
			for _, attempt := range run.Attempts {
				if attempt.Start > 0 {
					counts[run.Request]++
				}
			}
		}
	}
	return counts, nil
}

// serviceRunsResponse is the response of a simulated service to GET /runs.
type serviceRunsResponse struct {
	ByBody []struct {
		ID    string `json:"id"`
		Count int    `json:"count"`
	} `json:"by_body"`
}

// serviceRuns returns the number of runs per idempotency key, which is the id in the body
// of a confirm call. It returns nil if there are no addresses.
func (c *Client) serviceRuns(addresses []string) (map[string]int, error) {
	if len(addresses) == 0 {
		return nil, nil
	}
	counts := map[string]int{}
	for _, address := range addresses {
		var response serviceRunsResponse
		if err := c.getJSON("http://"+address+"/runs", "", &response); err != nil {
			return nil, err
		}
		for _, run := range response.ByBody {
			counts[run.ID] += run.Count
		}
	}
	return counts, nil
}

func (c *Client) getJSON(url, key string, into any) error {
	body, err := c.get(url, key)
	if err != nil {
		return err
	}
	return errors.Wrapf(json.Unmarshal(body, into), "load: GET %s", url)
}
