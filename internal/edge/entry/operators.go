package entry

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"

	"github.com/rattanshore/rattanshore/internal/core/confg"
	"github.com/rattanshore/rattanshore/internal/core/membr"
	"github.com/rattanshore/rattanshore/internal/core/rows"
	"github.com/rattanshore/rattanshore/internal/core/sched"
	"github.com/rattanshore/rattanshore/internal/edge/guard"
	"github.com/rattanshore/rattanshore/internal/edge/store"
	"github.com/rattanshore/rattanshore/internal/ops/logev"
	"github.com/rattanshore/rattanshore/internal/wire/operat"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

// operatorAPI implements the API for operators.
type operatorAPI struct {
	*Host
	listing listing
}

var _ operat.ServerInterface = operatorAPI{}

func (h *Host) operatorHandler() http.Handler {
	app := newApp()
	operat.RegisterHandlers(app, operatorAPI{h, newListing()})
	return h.requireKey(app)
}

// maxDomainAttempts limits how often a change of a failure domain is attempted
// when it conflicts with changes by other operators.
const maxDomainAttempts = 8

// SetDomain takes a failure domain out of service or returns it to service.
func (a operatorAPI) SetDomain(ctx iris.Context, id string) {
	change, ok := readBody[schema.DomainChange](a.Host, ctx, guard.TextBytes)
	if !ok || a.refuseIfUnavailable(ctx) {
		return
	}
	if !a.knownDomain(id) {
		a.fail(ctx, newError(schema.NotFound, "no shard of the configuration has failure domain %q", id))
		return
	}
	for range maxDomainAttempts {
		if a.trySetDomain(ctx, id, change) {
			return
		}
	}
	a.fail(ctx, newError(schema.VersionConflict, "failure domain %q was changed by other operators at the same time; try again", id))
}

// knownDomain reports whether a shard of the configuration has the failure
// domain.
func (a operatorAPI) knownDomain(id string) bool {
	config, _ := a.view.currentConfig()
	return slices.ContainsFunc(config.Document.Shards, func(s schema.ShardSpec) bool {
		return slices.Contains(s.Domains, id)
	})
}

// trySetDomain attempts the change once. It reports whether the call has been
// answered; otherwise another change was committed first.
func (a operatorAPI) trySetDomain(ctx iris.Context, id string, change schema.DomainChange) bool {
	row, err := a.readRow(ctx.Request().Context(), rows.Domain(id))
	if err != nil {
		a.failRead(ctx, err)
		return true
	}
	old := schema.DomainStatus{ID: id, InService: true}
	if row.Version > 0 {
		if old, err = decode[schema.DomainStatus](row); err != nil {
			a.failRead(ctx, err)
			return true
		}
	}
	if change.ExpectedEpoch != 0 && change.ExpectedEpoch != old.Epoch {
		conflict := newError(schema.VersionConflict, "failure domain %q is at epoch %d", id, old.Epoch)
		conflict.CurrentVersion = old.Epoch
		a.fail(ctx, conflict)
		return true
	}
	status := schema.DomainStatus{
		ID: id, InService: change.InService, Epoch: old.Epoch + 1,
		ChangedAt: time.Now(), Reason: change.Reason,
	}
	outcome, err := a.write(ctx, store.Change{
		Expect: []store.Row{expected(rows.Domain(id), row.Version)},
		Put:    []store.Row{rowOf(rows.Domain(id), status)},
	})
	if err != nil {
		a.fail(ctx, newError(schema.OutcomeUnknown, "the change may have taken effect; list the failure domains to check"))
		return true
	}
	if !outcome.Applied {
		return false
	}
	logev.DomainAccepted.Log(a.log).Str("failure-domain", id).Bool("in-service", status.InService).
		Int64("epoch", status.Epoch).Str("reason", status.Reason).Send()
	a.updateDomain(sched.Domain{Status: status, Version: outcome.Version})
	a.publishChanges(false, true)
	a.broadcast(schema.PeerMessage{})
	a.reply(ctx, status)
	return true
}

// ListDomains replies with the failure domains of the configuration.
func (a operatorAPI) ListDomains(ctx iris.Context) {
	config, _ := a.view.currentConfig()
	list := schema.DomainList{Domains: []schema.DomainStatus{}}
	for _, s := range config.Document.Shards {
		for _, id := range s.Domains {
			status := a.view.domain(id).Status
			if status.ID == "" {
				status = schema.DomainStatus{ID: id, InService: true}
			}
			list.Domains = append(list.Domains, status)
		}
	}
	a.reply(ctx, list)
}

// ListWorkers replies with the workers in the platform's list.
func (a operatorAPI) ListWorkers(ctx iris.Context) {
	list := schema.WorkerList{Workers: []schema.WorkerStatus{}}
	out := a.view.outOfServiceDomains()
	for _, w := range a.view.workers() {
		state := "open"
		switch {
		case w.Leaving:
			state = "leaving"
		case out[w.Domain]:
			state = "domain-out"
		}
		list.Workers = append(list.Workers, schema.WorkerStatus{
			ID: w.ID, Domain: w.Domain, Rack: w.Rack, Accelerators: w.Accelerators, Address: w.Address, State: state,
		})
	}
	a.reply(ctx, list)
}

// DrainWorker starts or ends the drain of a worker, which gets no new work while
// it is draining.
func (a operatorAPI) DrainWorker(ctx iris.Context, id string) {
	change, ok := readBody[schema.DrainChange](a.Host, ctx, guard.TextBytes)
	if !ok || a.refuseIfUnavailable(ctx) {
		return
	}
	if !slices.ContainsFunc(a.view.workers(), func(w sched.Worker) bool { return w.ID == id }) {
		a.fail(ctx, newError(schema.NotFound, "there is no worker %q", id))
		return
	}
	write := store.Change{Put: []store.Row{rowOf(rows.Drain(id), change)}}
	if !change.Draining {
		write = store.Change{Remove: []store.Key{keyOf(rows.Drain(id))}}
	}
	if _, err := a.write(ctx, write); err != nil {
		a.fail(ctx, newError(schema.OutcomeUnknown, "the drain may have taken effect; list the workers to check"))
		return
	}
	logev.WorkerDrain.Log(a.log).Str("worker", id).Bool("draining", change.Draining).Send()
	a.triggerPoll()
	a.broadcast(schema.PeerMessage{ShardsReleased: true})
	a.reply(ctx, change)
}

// ListTeams replies with the teams and their guarantees.
func (a operatorAPI) ListTeams(ctx iris.Context) {
	config, _ := a.view.currentConfig()
	a.reply(ctx, schema.TeamList{Teams: config.Document.Teams})
}

// GetConfig replies with the configuration as read from the store.
func (a operatorAPI) GetConfig(ctx iris.Context) {
	row, err := a.readRow(ctx.Request().Context(), rows.ConfigCurrent)
	if err != nil {
		a.failRead(ctx, err)
		return
	}
	if row.Version == 0 {
		a.fail(ctx, newError(schema.NotFound, "there is no configuration yet"))
		return
	}
	config, err := decode[schema.ConfigVersion](row)
	if err != nil {
		a.failRead(ctx, err)
		return
	}
	a.reply(ctx, config)
}

// SetConfig commits a new configuration if it is valid and the expected version
// is the current one.
func (a operatorAPI) SetConfig(ctx iris.Context) {
	change, ok := readBody[schema.ConfigChange](a.Host, ctx, listBytes)
	if !ok {
		return
	}
	if a.store.Health() == store.Down || a.isStopping() {
		a.refuseIfUnavailable(ctx)
		return
	}
	if err := confg.Check(change.Document, a.view.workers()); err != nil {
		code := schema.BadRequest
		if errors.Is(err, confg.ErrUnformable) {
			code = schema.UnformableGuarantee
		}
		logev.ConfigRefused.Log(a.log).Str("by", change.By).Err(err).Send()
		a.fail(ctx, newError(code, "%v", err))
		return
	}
	a.commitConfig(ctx, change)
}

// commitConfig writes the new configuration as the current one and to the
// history.
func (a operatorAPI) commitConfig(ctx iris.Context, change schema.ConfigChange) {
	row, err := a.readRow(ctx.Request().Context(), rows.ConfigCurrent)
	if err != nil {
		a.failRead(ctx, err)
		return
	}
	var current schema.ConfigVersion
	if row.Version > 0 {
		if current, err = decode[schema.ConfigVersion](row); err != nil {
			a.failRead(ctx, err)
			return
		}
	}
	if current.Version != change.ExpectedVersion {
		a.failConflict(ctx, change, current.Version)
		return
	}
	next := schema.ConfigVersion{
		Version: current.Version + 1, Document: change.Document, By: change.By, ChangedAt: time.Now(),
	}
	outcome, err := a.write(ctx, store.Change{
		Expect: []store.Row{expected(rows.ConfigCurrent, row.Version)},
		Put:    []store.Row{rowOf(rows.ConfigCurrent, next), rowOf(rows.ConfigAt(next.Version), next)},
	})
	switch {
	case err != nil:
		a.fail(ctx, newError(schema.OutcomeUnknown, "the change may have been accepted; get the configuration to check"))
	case !outcome.Applied:
		a.failConflict(ctx, change, current.Version+1)
	default:
		logev.ConfigAccepted.Log(a.log).Int64("config-version", next.Version).Str("by", next.By).Send()
		a.publishChanges(a.view.updateConfig(next, outcome.Version), false)
		a.broadcast(schema.PeerMessage{})
		a.reply(ctx, next)
	}
}

func (a operatorAPI) failConflict(ctx iris.Context, change schema.ConfigChange, current int64) {
	logev.ConfigRefused.Log(a.log).Str("by", change.By).Int64("expected", change.ExpectedVersion).Int64("current", current).Send()
	conflict := newError(schema.VersionConflict, "the configuration is at version %d, not %d", current, change.ExpectedVersion)
	conflict.CurrentVersion = current
	a.fail(ctx, conflict)
}

// ListConfigHistory replies with the accepted configurations, newest first.
func (a operatorAPI) ListConfigHistory(ctx iris.Context) {
	found, ok := a.listing.read(a.Host, ctx, func(request context.Context) ([]store.Row, error) {
		return a.readRows(request, rows.Configs, rows.ConfigPrefix)
	})
	if !ok {
		return
	}
	history := schema.ConfigHistory{Versions: []schema.ConfigVersion{}}
	for _, row := range slices.Backward(found) {
		if version, ok := decodeOrLog[schema.ConfigVersion](a.log, row); ok {
			history.Versions = append(history.Versions, version)
		}
	}
	a.reply(ctx, history)
}

// ListHosts replies with the entry hosts as this host knows them.
func (a operatorAPI) ListHosts(ctx iris.Context) {
	now := time.Now()
	list := schema.HostList{Hosts: []schema.HostStatus{}}
	for _, r := range a.view.hostRows() {
		list.Hosts = append(list.Hosts, a.hostStatus(now, r))
	}
	a.reply(ctx, list)
}

func (a operatorAPI) hostStatus(now time.Time, r hostRow) schema.HostStatus {
	status := schema.HostStatus{
		ID: r.ID, Incarnation: r.Incarnation, PeerAddress: r.Peer, CallerAddress: r.Caller, Domain: r.Domain,
		ExpiresAt: r.ExpiresAt, Stopping: r.Stopping, ConfigVersion: a.view.peer(r.ID).configVersion,
		Live: membr.Live(now, membr.Host{ExpiresAt: r.ExpiresAt}, a.settings.Timing.ClockBound),
	}
	config, _ := a.view.currentConfig()
	for _, s := range config.Document.Shards {
		if a.view.lease(s.Name).Owner == r.ID {
			status.Shards = append(status.Shards, s.Name)
		}
	}
	if r.ID == a.settings.Host.ID {
		status.Table = string(a.store.Health())
		status.ConfigVersion = config.Version
	}
	return status
}
