package check

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// outage is the time a failure domain was out of service: from the
// acknowledgement of the command that took it out to the commit of the one that
// put it back. A zero end means that it was not put back.
type outage struct {
	domain     string
	start, end time.Time
}

// outages returns the outages in a history sorted by time.
func outages(records []Record) []outage {
	var list []outage
	for _, r := range records {
		if r.Kind != CommandAcknowledged || r.Domain == "" || r.InService {
			continue
		}
		o := outage{domain: r.Domain, start: r.At}
		for _, later := range records {
			restored := later.Kind == RowWritten && later.Key == "domain/"+r.Domain &&
				strings.Contains(later.Body, `"in-service":true`) && domainEpoch(later) > r.Version
			if restored {
				o.end = later.At
				break
			}
		}
		list = append(list, o)
	}
	return list
}

// domainEpoch returns the epoch in a failure domain's row, or 0 if the row
// cannot be decoded.
func domainEpoch(r Record) int64 {
	var row struct {
		Epoch int64 `json:"epoch"`
	}
	_ = json.Unmarshal([]byte(r.Body), &row)
	return row.Epoch
}

// checkDomainOut reports tasks and requests that started in a failure domain
// later than the bound after it was taken out of service.
func checkDomainOut(records []Record, bounds Bounds) []string {
	var violations []string
	for _, o := range outages(records) {
		limit := o.start.Add(bounds.DomainOut)
		for _, r := range records {
			if r.Kind != TaskStarted && r.Kind != RequestRan || r.Domain != o.domain || !r.At.After(limit) {
				continue
			}
			if o.end.IsZero() || r.At.Before(o.end) {
				violations = append(violations, fmt.Sprintf("%s%s started in failure domain %s %s after it was taken out of service", r.Job, r.Request, r.Domain, r.At.Sub(o.start)))
			}
		}
	}
	return violations
}
