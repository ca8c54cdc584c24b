// Package rows defines the tables and keys of the rows in the platform's store.
package rows

import (
	"fmt"
	"strings"
)

// The tables.
const (
	// Shared holds the few rows that each host watches.
	Shared = "shared"
	// ShardJobs holds the jobs of all shards that have not ended, and the
	// cancellations.
	ShardJobs = "shard-jobs"
	// EndedJobs holds the jobs that have ended.
	EndedJobs = "past-jobs"
	// JobShards holds the shard of each job.
	JobShards = "job-shards"
	// Requests holds the claims of non-idempotent requests.
	Requests = "requests"
	// Tombstones holds the jobs that were cancelled while they were not recorded.
	Tombstones = "tombstones"
	// Configs holds all versions of the configuration.
	Configs = "configs"
)

// Table returns the table of the row with the given key.
func Table(key string) string {
	switch {
	case strings.HasPrefix(key, JobPrefix), strings.HasPrefix(key, CancelPrefix):
		return ShardJobs
	case strings.HasPrefix(key, EndedJobPrefix):
		return EndedJobs
	case strings.HasPrefix(key, JobShardPrefix):
		return JobShards
	case strings.HasPrefix(key, TombstonePrefix):
		return Tombstones
	case strings.HasPrefix(key, RequestPrefix):
		return Requests
	case strings.HasPrefix(key, ConfigPrefix) && key != ConfigCurrent:
		return Configs
	default:
		return Shared
	}
}

// The prefixes of row keys, one for each kind of row.
const (
	HostPrefix     = "host/"
	ConfigPrefix   = "config/"
	DomainPrefix   = "domain/"
	ShardPrefix    = "shard/"
	JobPrefix      = "job/"
	EndedJobPrefix = "past/"
	JobShardPrefix = "job-shard/"
	CancelPrefix   = "cancel/"
	RequestPrefix  = "request/"
	DrainPrefix    = "drain/"

	TombstonePrefix = "tombstone/"
)

// ConfigCurrent is the key of the configuration in force.
const ConfigCurrent = ConfigPrefix + "current"

// Host returns the key of an entry host's session.
func Host(id string) string { return HostPrefix + id }

// ConfigAt returns the key of one version of the configuration.
func ConfigAt(version int64) string { return fmt.Sprintf("%s%012d", ConfigPrefix, version) }

// Domain returns the key of the service state of a failure domain.
func Domain(id string) string { return DomainPrefix + id }

// Shard returns the key of a shard's lease.
func Shard(name string) string { return ShardPrefix + name }

// Jobs returns the key prefix of a shard's jobs.
func Jobs(shard string) string { return JobPrefix + shard + "/" }

// Job returns the key of a job.
func Job(shard, id string) string { return Jobs(shard) + id }

// EndedJob returns the key of a job that has ended.
func EndedJob(shard, id string) string { return EndedJobPrefix + shard + "/" + id }

// JobShard returns the key of the row that holds the shard of a job.
func JobShard(id string) string { return JobShardPrefix + id }

// Cancels returns the key prefix of a shard's recorded cancellations.
func Cancels(shard string) string { return CancelPrefix + shard + "/" }

// Cancel returns the key of a recorded cancellation.
func Cancel(shard, id string) string { return Cancels(shard) + id }

// Tombstone returns the key of the row that keeps a cancelled job from being recorded.
func Tombstone(id string) string { return TombstonePrefix + id }

// Request returns the key of the claim of a non-idempotent request.
func Request(id string) string { return RequestPrefix + id }

// Drain returns the key of the row that drains a worker.
func Drain(worker string) string { return DrainPrefix + worker }
