// Package rows names the rows of the shards' state in the platform's store.
package rows

import (
	"fmt"
	"strings"
)

// The tables in which rows lie.
const (
	// Shared holds the few rows that every host follows.
	Shared = "shared"
	// ShardJobs holds the jobs of all shards and their cancellations.
	ShardJobs = "shard-jobs"
	PastJobs  = "past-jobs"
	Pointers  = "job-shards"
	Requests  = "requests"
	Configs   = "configs"
)

// Table returns the table in which the row of a name lies.
func Table(name string) string {
	switch {
	case strings.HasPrefix(name, JobPrefix), strings.HasPrefix(name, CancelPrefix):
		return ShardJobs
	case strings.HasPrefix(name, PastPrefix):
		return PastJobs
	case strings.HasPrefix(name, PointerPrefix):
		return Pointers
	case strings.HasPrefix(name, RequestPrefix):
		return Requests
	case strings.HasPrefix(name, ConfigPrefix) && name != ConfigCurrent:
		return Configs
	default:
		return Shared
	}
}

// Prefixes under which rows lie.
const (
	HostPrefix    = "host/"
	ConfigPrefix  = "config/"
	DomainPrefix  = "domain/"
	ShardPrefix   = "shard/"
	JobPrefix     = "job/"
	PastPrefix    = "past/"
	PointerPrefix = "job-shard/"
	CancelPrefix  = "cancel/"
	RequestPrefix = "request/"
	DrainPrefix   = "drain/"
)

// ConfigCurrent is the row of the configuration in force.
const ConfigCurrent = ConfigPrefix + "current"

// Host returns the key of an entry host's session.
func Host(id string) string { return HostPrefix + id }

// ConfigAt returns the key of one version of the configuration.
func ConfigAt(version int64) string { return fmt.Sprintf("%s%012d", ConfigPrefix, version) }

// Domain returns the key of a failure domain's service state.
func Domain(id string) string { return DomainPrefix + id }

// Shard returns the key of a shard's lease.
func Shard(name string) string { return ShardPrefix + name }

// Jobs returns the prefix of a shard's jobs.
func Jobs(shard string) string { return JobPrefix + shard + "/" }

// Job returns the key of a job.
func Job(shard, id string) string { return Jobs(shard) + id }

// Past returns the key of a job that has ended.
func Past(shard, id string) string { return PastPrefix + shard + "/" + id }

// Pointer returns the key of the row that says in which shard a job lies.
func Pointer(id string) string { return PointerPrefix + id }

// Cancels returns the prefix of a shard's recorded cancellations.
func Cancels(shard string) string { return CancelPrefix + shard + "/" }

// Cancel returns the key of a recorded cancellation.
func Cancel(shard, id string) string { return Cancels(shard) + id }

// Request returns the key of the claim of a non-idempotent request.
func Request(id string) string { return RequestPrefix + id }

// Drain returns the key of a worker's drain order.
func Drain(worker string) string { return DrainPrefix + worker }
