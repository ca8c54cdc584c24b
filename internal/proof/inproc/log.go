package inproc

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/rattanshore/rattanshore/internal/ops/logev"
	"github.com/rattanshore/rattanshore/internal/proof/check"
)

// LogLine holds the fields that are read from a log line of an entry host.
type LogLine struct {
	Time          time.Time   `json:"time"`
	Host          string      `json:"host"`
	Event         logev.Event `json:"event"`
	Name          string      `json:"name"`
	Job           string      `json:"job"`
	Request       string      `json:"request"`
	Rule          string      `json:"rule"`
	Target        string      `json:"target"`
	Detail        string      `json:"detail"`
	Shard         string      `json:"shard"`
	Domain        string      `json:"failure-domain"`
	Workers       []string    `json:"workers"`
	ConfigVersion int64       `json:"config-version"`
	InService     bool        `json:"in-service"`
	Epoch         int64       `json:"epoch"`
}

// DecisionLog reads the log lines of entry hosts. It records the configuration
// version under which each decision was made, and prints the main decisions.
type DecisionLog struct {
	out   io.Writer
	start time.Time

	mu      sync.Mutex
	records []check.Record
}

// NewDecisionLog returns a log that prints decisions to out.
func NewDecisionLog(out io.Writer) *DecisionLog {
	return &DecisionLog{out: out, start: time.Now()}
}

// Write reads one log line. Lines that are not JSON are ignored.
func (l *DecisionLog) Write(data []byte) (int, error) {
	var line LogLine
	if err := json.Unmarshal(data, &line); err != nil {
		return len(data), nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if r, ok := line.ConfigRecord(); ok {
		l.records = append(l.records, r)
	}
	if text := decisionText(line); text != "" {
		_, _ = fmt.Fprintf(l.out, "%6.2fs %-8s %s\n", time.Since(l.start).Seconds(), line.Host, text)
	}
	return len(data), nil
}

// ConfigRecord returns a record of the configuration version under which the
// line's decision was made, or false if the line is not a decision. The router,
// each shard's scheduler and the frontend that serves calls receive a new version
// at different times, so each is recorded separately.
func (l LogLine) ConfigRecord() (check.Record, bool) {
	if l.ConfigVersion == 0 || l.Event == logev.ConfigAccepted || l.Event == logev.ConfigRefused {
		return check.Record{}, false
	}
	part := "front"
	switch {
	case l.Event >= logev.GangPlaced && l.Event <= logev.WorkerSetAside:
		part = "shard " + l.Shard
	case l.Request != "":
		part = "router"
	}
	return check.Record{Kind: check.ConfigInForce, Who: l.Host + "/" + part, Version: l.ConfigVersion, At: l.Time}, true
}

// History returns the records so far.
func (l *DecisionLog) History() []check.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]check.Record(nil), l.records...)
}

// decisionText returns the text to print for a log line, or the empty string for
// a line that is not printed.
func decisionText(line LogLine) string {
	switch line.Event {
	case logev.ShardTaken, logev.ShardGivenUp, logev.ShardLost:
		return fmt.Sprintf("%s %s", line.Name, line.Shard)
	case logev.DomainAccepted:
		return fmt.Sprintf("%s %s in-service=%t epoch=%d", line.Name, line.Domain, line.InService, line.Epoch)
	case logev.GangPlaced:
		return fmt.Sprintf("%s %s by rule %s on %s", line.Name, line.Job, line.Rule, strings.Join(line.Workers, " "))
	case logev.GangReclaimed, logev.GangEvacuated, logev.GangBroken, logev.GangEnded, logev.GangTaken:
		return fmt.Sprintf("%s %s %s", line.Name, line.Job, line.Detail)
	default:
		return ""
	}
}
