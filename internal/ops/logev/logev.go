// Package logev defines the events that log lines report, each with a number,
// a name and a level. docs/EVENTS.md holds the same catalogue, and a test keeps
// the two equal.
package logev

import (
	"fmt"
	"slices"
	"strings"

	"github.com/rs/zerolog"
)

// Event is the number of a log event.
type Event int

// The events. A number is never reused for another event.
const (
	HostStarted        Event = 100
	HostStopping       Event = 101
	HostStopped        Event = 102
	SessionLost        Event = 103
	SettingsChanged    Event = 104
	SettingIgnored     Event = 105
	TableLost          Event = 110
	TableBack          Event = 111
	ConfigStale        Event = 112
	ConfigCurrent      Event = 113
	PeerConnected      Event = 120
	PeerLost           Event = 121
	StoreDetour        Event = 122
	StoreDirect        Event = 123
	RelayRefused       Event = 124
	RegistryFailed     Event = 125
	CallersLimited     Event = 126
	ShardTaken         Event = 130
	ShardGivenUp       Event = 131
	ShardLost          Event = 132
	LeaderTaken        Event = 150
	LeaderLost         Event = 151
	LeaderGivenUp      Event = 152
	PlanLoaded         Event = 153
	RowSkipped         Event = 154
	TakeoverFailed     Event = 155
	FeedLost           Event = 156
	RowReduced         Event = 158
	LeaderUnconfirmed  Event = 159
	LeaderConfirmed    Event = 160
	WitnessWithdrawn   Event = 161
	ConfigInForce      Event = 140
	ConfigAccepted     Event = 141
	ConfigRefused      Event = 142
	DomainInForce      Event = 143
	DomainAccepted     Event = 144
	WorkerDrain        Event = 145
	ConfigValueIgnored Event = 146
	CallRefused        Event = 200
	RequestRouted      Event = 210
	RequestRefused     Event = 211
	RequestEnded       Event = 212
	ClaimRecorded      Event = 213
	JobRecorded        Event = 300
	JobRefused         Event = 301
	CancelRecorded     Event = 302
	TombstoneLeft      Event = 306
	TombstonesRemoved  Event = 307
	GangPlaced         Event = 310
	GangRequeued       Event = 311
	GangReclaimed      Event = 312
	GangStarted        Event = 313
	GangBroken         Event = 314
	GangEnded          Event = 315
	GangTaken          Event = 316
	GangEvacuated      Event = 317
	TaskEnded          Event = 318
	JobEnded           Event = 319
	WorkerSetAside     Event = 320
	WorkerSilent       Event = 321
	JobTaken           Event = 322
	WorkersClaimed     Event = 323
	JobStarted         Event = 324
	WorkerCrashed      Event = 325
	LimitReached       Event = 326
	WorkerAvoided      Event = 340
	WorkerTried        Event = 341
	WorkerTrusted      Event = 342
	WorkerUnsteady     Event = 343
	AttemptHeld        Event = 344
	WorkerWithheld     Event = 330
	WorkerBack         Event = 331
	WorkerRefusing     Event = 332
	RunTimeRevised     Event = 327
	Fragmentation      Event = 328
	LoadRefused        Event = 303
	DigestLost         Event = 304
	DigestBack         Event = 305
	InternalProblem    Event = 900
)

// Entry is the description of an event in the catalogue.
type Entry struct {
	Event   Event
	Name    string
	Level   zerolog.Level
	Meaning string
}

// entries is the catalogue, in no particular order.
var entries = []Entry{
	{HostStarted, "host-started", zerolog.InfoLevel, "The host accepts connections; the line gives its addresses and incarnation."},
	{HostStopping, "host-stopping", zerolog.InfoLevel, "A planned stop has begun: the host takes on no new work."},
	{HostStopped, "host-stopped", zerolog.InfoLevel, "The stop is complete; the line counts the requests or listeners that were cut off."},
	{SessionLost, "session-lost", zerolog.ErrorLevel, "Another process has written this host's session row and the host stops, or the session was not closed at a stop; the message tells which."},
	{SettingsChanged, "settings-changed", zerolog.InfoLevel, "The host received SIGHUP: its settings file has changed and takes effect at the next start."},
	{SettingIgnored, "setting-ignored", zerolog.WarnLevel, "A value of the settings file cannot be used; its default holds."},
	{TableLost, "table-lost", zerolog.WarnLevel, "The platform's store does not answer this host."},
	{TableBack, "table-back", zerolog.InfoLevel, "The platform's store answers this host again."},
	{StoreDetour, "store-detour", zerolog.WarnLevel, "The platform's store does not answer this host directly; calls go through peers as well."},
	{StoreDirect, "store-direct", zerolog.InfoLevel, "The platform's store answers this host directly again."},
	{RelayRefused, "relay-refused", zerolog.WarnLevel, "A peer has asked for a call to the store that cannot be read or is not relayed."},
	{RegistryFailed, "registry-failed", zerolog.InfoLevel, "This host could not read its peers' addresses or write its own; it tries again."},
	{CallersLimited, "callers-limited", zerolog.WarnLevel, "Callers of a listener hold all the memory or connections that they may, or send what is too large; the line counts the connections closed and the requests refused since the line before, and gives the last reason."},
	{ConfigStale, "standing-lost", zerolog.WarnLevel, "The configuration known here is not certain to be current; this host makes no decisions."},
	{ConfigCurrent, "standing-back", zerolog.InfoLevel, "The configuration known here is certain to be current again."},
	{PeerConnected, "peer-connected", zerolog.DebugLevel, "A connection to a peer is up."},
	{PeerLost, "peer-lost", zerolog.DebugLevel, "A connection to a peer is down."},
	{ShardTaken, "shard-taken", zerolog.InfoLevel, "This host owns the shard under the given epoch."},
	{ShardGivenUp, "shard-given-up", zerolog.InfoLevel, "This host has released the shard at a planned stop."},
	{ShardLost, "shard-lost", zerolog.WarnLevel, "This host has stopped deciding for the shard, usually because another host owns it; the reason or error says why."},
	{LeaderTaken, "leader-taken", zerolog.InfoLevel, "This host has become the leader and plans for all workers under the given epoch."},
	{LeaderLost, "leader-lost", zerolog.WarnLevel, "This host is no longer the leader and has stopped planning; the reason says why."},
	{LeaderGivenUp, "leader-given-up", zerolog.InfoLevel, "Leadership was handed over at a planned stop."},
	{PlanLoaded, "plan-loaded", zerolog.InfoLevel, "The leader has read the rows that earlier leaders wrote."},
	{TakeoverFailed, "takeover-failed", zerolog.InfoLevel, "The leader's row could not be written; another host may have written it first."},
	{FeedLost, "feed-lost", zerolog.WarnLevel, "A read of changes that the leader follows got no answer; it is retried until it gets one."},
	{RowReduced, "row-reduced", zerolog.WarnLevel, "A row would be too large for the store; checkpoints, losses or expected delays are left out of it."},
	{LeaderUnconfirmed, "leader-unconfirmed", zerolog.WarnLevel, "Neither the store nor all its witnesses have confirmed the leader lately, or its process stood still; it starts nothing and renews no lease until they do."},
	{LeaderConfirmed, "leader-confirmed", zerolog.InfoLevel, "The leader is confirmed again and goes on."},
	{WitnessWithdrawn, "witness-withdrawn", zerolog.InfoLevel, "A witness of the leader before has withdrawn after the takeover; earlier leaders act only for as long as the line says."},
	{RowSkipped, "row-skipped", zerolog.WarnLevel, "A row of the store cannot be read; it is skipped and not changed."},
	{ConfigInForce, "config-in-force", zerolog.InfoLevel, "Decisions follow this configuration version from now on."},
	{ConfigAccepted, "config-accepted", zerolog.InfoLevel, "An operator's change was committed as this version."},
	{ConfigRefused, "config-refused", zerolog.InfoLevel, "An operator's change was refused for the given reason."},
	{DomainInForce, "domain-in-force", zerolog.InfoLevel, "Decisions treat the failure domain as in or out of service, as given, from now on."},
	{DomainAccepted, "domain-accepted", zerolog.InfoLevel, "An operator's change of a failure domain's service state was committed."},
	{WorkerDrain, "worker-drain", zerolog.InfoLevel, "An operator's change of a worker's draining state was committed."},
	{CallRefused, "call-refused", zerolog.InfoLevel, "A call was refused before any decision was made; the code or the error says why."},
	{RequestRouted, "request-routed", zerolog.InfoLevel, "A request was sent to a target by the given rule."},
	{RequestRefused, "request-refused", zerolog.InfoLevel, "A request was sent to no target; the rule says why."},
	{RequestEnded, "request-ended", zerolog.InfoLevel, "The caller was given the outcome of its request."},
	{ClaimRecorded, "claim-recorded", zerolog.DebugLevel, "The outcome of a non-idempotent request is stored."},
	{JobRecorded, "job-recorded", zerolog.InfoLevel, "A job is stored; its shard's owner, or the leader, will schedule it."},
	{JobRefused, "job-refused", zerolog.InfoLevel, "A job was refused at submission; with outcome open, it may have been stored all the same."},
	{CancelRecorded, "cancel-recorded", zerolog.InfoLevel, "A cancellation is stored."},
	{TombstoneLeft, "tombstone-left", zerolog.InfoLevel, "A job was cancelled that is not stored; a row keeps its submission from being stored later."},
	{TombstonesRemoved, "tombstones-removed", zerolog.InfoLevel, "Rows that kept submissions of cancelled jobs from being stored are over and removed."},
	{GangPlaced, "gang-placed", zerolog.InfoLevel, "A gang was placed by the given rule; its workers are asked to run it next."},
	{GangRequeued, "gang-kept", zerolog.InfoLevel, "A gang waits in the queue again for the given reason."},
	{GangReclaimed, "gang-reclaimed", zerolog.InfoLevel, "A gang is preempted, or loses lent capacity, to the gang that the detail names."},
	{GangStarted, "gang-started", zerolog.InfoLevel, "All members of a gang run."},
	{GangBroken, "gang-broken", zerolog.WarnLevel, "A gang lost a member; its other members are stopped."},
	{GangEnded, "gang-ended", zerolog.InfoLevel, "A job has reached its final state."},
	{GangTaken, "gang-taken", zerolog.InfoLevel, "The shard's new owner, or the new leader, has adopted a running gang with all its members."},
	{GangEvacuated, "gang-evacuated", zerolog.InfoLevel, "A gang is stopped because its failure domain is out of service, and waits again."},
	{TaskEnded, "task-ended", zerolog.InfoLevel, "A task, or a gang, has completed successfully."},
	{JobEnded, "job-ended", zerolog.InfoLevel, "A job of steps has reached its final state; the line tells when it was accepted and when it was due."},
	{WorkerSilent, "worker-silent", zerolog.WarnLevel, "A worker does not answer or has restarted; the detail says which."},
	{WorkerBack, "worker-back", zerolog.InfoLevel, "A worker that did not answer does so again; the detail says after what time and how many polls."},
	{WorkerRefusing, "worker-refusing", zerolog.WarnLevel, "A worker has refused a start, or left one unconfirmed, and gets none until the given time; then one gang at a time tries it until a start succeeds."},
	{JobStarted, "job-started", zerolog.InfoLevel, "The first gang of a job runs; the delay counts from when the job was accepted."},
	{WorkersClaimed, "workers-claimed", zerolog.InfoLevel, "Workers are reserved for a wide gang until it fits on them."},
	{JobTaken, "job-taken", zerolog.InfoLevel, "The leader has read a job's row and plans the job."},
	{WorkerSetAside, "worker-set-aside", zerolog.WarnLevel, "A worker gets no work for a while because tasks keep failing on it."},
	{WorkerCrashed, "worker-crashed", zerolog.WarnLevel, "A worker has crashed under a task, or may have; the detail says how sure that is and how often it has happened."},
	{ConfigValueIgnored, "config-value-ignored", zerolog.WarnLevel, "A value of the operators' configuration cannot be used and is left out; the rest is in force."},
	{LimitReached, "limit-reached", zerolog.InfoLevel, "A gang waits because its team is at its limit; the detail gives what the team holds and the limit."},
	{WorkerAvoided, "worker-avoided", zerolog.WarnLevel, "A worker gets no work until the given time for what it has done; while work waits, this holds for a part of the capacity only."},
	{WorkerTried, "worker-tried", zerolog.InfoLevel, "A worker that was avoided gets one short task at a time until one has succeeded."},
	{WorkerTrusted, "worker-trusted", zerolog.InfoLevel, "A worker that was avoided gets all work again."},
	{WorkerUnsteady, "worker-unsteady", zerolog.WarnLevel, "A worker leaves again and again and gets no long work without checkpoints, or it stays again; the detail says which."},
	{AttemptHeld, "attempt-held", zerolog.InfoLevel, "A gang with one attempt left waits, since many workers fail or may do so; the detail says which."},
	{WorkerWithheld, "worker-withheld", zerolog.WarnLevel, "A silent worker with runs gets no lease and no start until it answers and its roster row is stored; the detail says when its runs have ended."},
	{RunTimeRevised, "run-time-revised", zerolog.InfoLevel, "Tasks of a team, queue and shape are expected to take more than half longer or shorter than before; the detail gives both times."},
	{Fragmentation, "fragmentation", zerolog.InfoLevel, "While tasks wait, accelerators are free on workers on which no waiting task fits; the line gives the sums and the detail the targets with the most, at most once a second."},
	{LoadRefused, "admission-refused", zerolog.InfoLevel, "A job was refused for load; the line gives the reason, the least delay until its start and when its caller is to come back."},
	{DigestLost, "digest-lost", zerolog.WarnLevel, "This host has no current digest of the load and accepts every job; the reason says why."},
	{DigestBack, "digest-back", zerolog.InfoLevel, "This host has a current digest of the load again and refuses jobs by it."},
	{InternalProblem, "internal-problem", zerolog.ErrorLevel, "An internal error that should not happen; please report it."},
}

// Entries returns the catalogue sorted by event number.
func Entries() []Entry {
	sorted := slices.Clone(entries)
	slices.SortFunc(sorted, func(a, b Entry) int { return int(a.Event - b.Event) })
	return sorted
}

// Log starts a log line of the event, at the event's level. The caller adds
// fields and sends it.
func (e Event) Log(logger *zerolog.Logger) *zerolog.Event {
	for _, entry := range entries {
		if entry.Event == e {
			return logger.WithLevel(entry.Level).Int("event", int(e)).Str("name", entry.Name)
		}
	}
	return logger.Error().Int("event", int(e))
}

// maxTextBytes is the most of a text from outside that a log line holds. Lines that wait to
// be written would otherwise hold as much as callers send.
const maxTextBytes = 256

// Clip returns the beginning of a text that a caller has sent, for a log line.
func Clip(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxTextBytes], "") + "..."
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
