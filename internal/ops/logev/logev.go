// Package logev numbers the events that the log may hold. docs/EVENTS.md is
// the catalogue, and a test keeps the two equal.
package logev

import (
	"fmt"
	"slices"
	"strings"

	"github.com/rs/zerolog"
)

// Event is the number of a kind of log line.
type Event int

// The events. Numbers are never used for anything else later.
const (
	HostStarted     Event = 100
	HostStopping    Event = 101
	HostStopped     Event = 102
	SessionLost     Event = 103
	SettingsChanged Event = 104
	TableLost       Event = 110
	TableBack       Event = 111
	StandingLost    Event = 112
	StandingBack    Event = 113
	PeerConnected   Event = 120
	PeerLost        Event = 121
	ShardTaken      Event = 130
	ShardGivenUp    Event = 131
	ShardLost       Event = 132
	LeaderTaken     Event = 150
	LeaderLost      Event = 151
	LeaderGivenUp   Event = 152
	PlanLoaded      Event = 153
	RowSkipped      Event = 154
	TakeoverFailed  Event = 155
	FeedLost        Event = 156
	ConfigInForce   Event = 140
	ConfigAccepted  Event = 141
	ConfigRefused   Event = 142
	DomainInForce   Event = 143
	DomainAccepted  Event = 144
	WorkerDrain     Event = 145
	CallRefused     Event = 200
	RequestRouted   Event = 210
	RequestRefused  Event = 211
	RequestEnded    Event = 212
	ClaimRecorded   Event = 213
	JobRecorded     Event = 300
	JobRefused      Event = 301
	CancelRecorded  Event = 302
	GangPlaced      Event = 310
	GangKept        Event = 311
	GangReclaimed   Event = 312
	GangStarted     Event = 313
	GangBroken      Event = 314
	GangEnded       Event = 315
	GangTaken       Event = 316
	GangEvacuated   Event = 317
	TaskEnded       Event = 318
	JobEnded        Event = 319
	WorkerSetAside  Event = 320
	WorkerSilent    Event = 321
	JobTaken        Event = 322
	WorkersClaimed  Event = 323
	JobStarted      Event = 324
	InternalProblem Event = 900
)

// Entry describes an event in the catalogue.
type Entry struct {
	Event   Event
	Name    string
	Level   zerolog.Level
	Meaning string
}

var entries = []Entry{
	{HostStarted, "host-started", zerolog.InfoLevel, "The entry host listens; addresses and incarnation follow."},
	{HostStopping, "host-stopping", zerolog.InfoLevel, "A planned stop has begun: nothing new is taken on."},
	{HostStopped, "host-stopped", zerolog.InfoLevel, "The stop is complete; no request in progress was cut off unless the count says so."},
	{SessionLost, "session-lost", zerolog.ErrorLevel, "Another process has written this host's session row; the host stops."},
	{SettingsChanged, "settings-changed", zerolog.InfoLevel, "The settings file has changed; what it says holds from the next start."},
	{TableLost, "table-lost", zerolog.WarnLevel, "The table service does not answer this host."},
	{TableBack, "table-back", zerolog.InfoLevel, "The table service answers again."},
	{StandingLost, "standing-lost", zerolog.WarnLevel, "The configuration in force may be a newer one; this host takes no decisions."},
	{StandingBack, "standing-back", zerolog.InfoLevel, "The configuration known here is certain to be in force again."},
	{PeerConnected, "peer-connected", zerolog.DebugLevel, "A link to a peer is up."},
	{PeerLost, "peer-lost", zerolog.DebugLevel, "A link to a peer is down."},
	{ShardTaken, "shard-taken", zerolog.InfoLevel, "This host owns the shard under the given epoch."},
	{ShardGivenUp, "shard-given-up", zerolog.InfoLevel, "The shard was handed over at a planned stop."},
	{ShardLost, "shard-lost", zerolog.WarnLevel, "Another host owns the shard; this one has stopped deciding for it."},
	{LeaderTaken, "leader-taken", zerolog.InfoLevel, "This host plans for all workers under the given epoch."},
	{LeaderLost, "leader-lost", zerolog.WarnLevel, "This host has stopped planning; the reason says why."},
	{LeaderGivenUp, "leader-given-up", zerolog.InfoLevel, "The lead was handed over at a planned stop."},
	{PlanLoaded, "plan-loaded", zerolog.InfoLevel, "The rows that earlier leaders left are read."},
	{TakeoverFailed, "takeover-failed", zerolog.InfoLevel, "The leader's row could not be written; another host may have been first."},
	{FeedLost, "feed-lost", zerolog.WarnLevel, "A feed of the leader got no answer; it is asked again until it does."},
	{RowSkipped, "row-skipped", zerolog.WarnLevel, "A row of the store cannot be read and is left alone."},
	{ConfigInForce, "config-in-force", zerolog.InfoLevel, "Decisions use this configuration version from now on."},
	{ConfigAccepted, "config-accepted", zerolog.InfoLevel, "An operator's change was committed as this version."},
	{ConfigRefused, "config-refused", zerolog.InfoLevel, "An operator's change was refused for the given reason."},
	{DomainInForce, "domain-in-force", zerolog.InfoLevel, "Decisions use this service state of the failure domain from now on."},
	{DomainAccepted, "domain-accepted", zerolog.InfoLevel, "An operator's command about a failure domain was committed."},
	{WorkerDrain, "worker-drain", zerolog.InfoLevel, "An operator's drain order for a worker was committed."},
	{CallRefused, "call-refused", zerolog.InfoLevel, "A call was refused before anything was decided; the code says why."},
	{RequestRouted, "request-routed", zerolog.InfoLevel, "A request was sent to a target by the given rule."},
	{RequestRefused, "request-refused", zerolog.InfoLevel, "A decision about a request that sends it to no target; the rule says why."},
	{RequestEnded, "request-ended", zerolog.InfoLevel, "The caller was given the ending."},
	{ClaimRecorded, "claim-recorded", zerolog.DebugLevel, "The ending of a non-idempotent request is in the table."},
	{JobRecorded, "job-recorded", zerolog.InfoLevel, "A job is in the table and will be decided on by its shard's owner."},
	{JobRefused, "job-refused", zerolog.InfoLevel, "A job was refused at submission."},
	{CancelRecorded, "cancel-recorded", zerolog.InfoLevel, "A cancellation is in the table."},
	{GangPlaced, "gang-placed", zerolog.InfoLevel, "A gang was given places by the given rule; its workers are asked next."},
	{GangKept, "gang-kept", zerolog.InfoLevel, "A gang waits again for the given reason."},
	{GangReclaimed, "gang-reclaimed", zerolog.InfoLevel, "A gang loses lent capacity to another one."},
	{GangStarted, "gang-started", zerolog.InfoLevel, "All members of a gang run."},
	{GangBroken, "gang-broken", zerolog.WarnLevel, "A gang lost a member; what is left of it is stopped."},
	{GangEnded, "gang-ended", zerolog.InfoLevel, "A job has its final state."},
	{GangTaken, "gang-taken", zerolog.InfoLevel, "A running gang was taken over whole by the shard's new owner."},
	{GangEvacuated, "gang-evacuated", zerolog.InfoLevel, "A gang leaves a failure domain that is out of service."},
	{TaskEnded, "task-ended", zerolog.InfoLevel, "A task, or a gang, has ended successfully."},
	{JobEnded, "job-ended", zerolog.InfoLevel, "A job of steps has its final state."},
	{WorkerSilent, "worker-silent", zerolog.WarnLevel, "A worker does not answer or has started anew; the detail says which."},
	{JobStarted, "job-started", zerolog.InfoLevel, "The first gang of a job is at work; the delay counts from the job's acceptance."},
	{WorkersClaimed, "workers-claimed", zerolog.InfoLevel, "Others are kept out of workers until a wide gang fits on them."},
	{JobTaken, "job-taken", zerolog.InfoLevel, "The leader has read a job's row and plans it."},
	{WorkerSetAside, "worker-set-aside", zerolog.WarnLevel, "A worker gets no work for a while because its tasks fail."},
	{InternalProblem, "internal-problem", zerolog.ErrorLevel, "Something that should not happen; please report it."},
}

// Entries returns the catalogue in order of number.
func Entries() []Entry {
	sorted := slices.Clone(entries)
	slices.SortFunc(sorted, func(a, b Entry) int { return int(a.Event - b.Event) })
	return sorted
}

// Log begins a log line of the event. The caller adds fields and sends it.
func (e Event) Log(logger *zerolog.Logger) *zerolog.Event {
	for _, entry := range entries {
		if entry.Event == e {
			return logger.WithLevel(entry.Level).Int("event", int(e)).Str("name", entry.Name)
		}
	}
	return logger.Error().Int("event", int(e))
}

// Catalogue returns the catalogue as the Markdown table of docs/EVENTS.md.
func Catalogue() string {
	var out strings.Builder
	out.WriteString("| event | name | level | meaning |\n| --- | --- | --- | --- |\n")
	for _, e := range Entries() {
		fmt.Fprintf(&out, "| %d | %s | %s | %s |\n", e.Event, e.Name, e.Level, e.Meaning)
	}
	return out.String()
}
