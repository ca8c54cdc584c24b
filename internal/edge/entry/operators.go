package entry

import (
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"

	"github.com/rattanshore/rattanshore/internal/core/confg"
	"github.com/rattanshore/rattanshore/internal/core/membr"
	"github.com/rattanshore/rattanshore/internal/core/rows"
	"github.com/rattanshore/rattanshore/internal/core/sched"
	"github.com/rattanshore/rattanshore/internal/edge/store"
	"github.com/rattanshore/rattanshore/internal/ops/logev"
	"github.com/rattanshore/rattanshore/internal/wire/operat"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

// operatorAPI serves the operations of operators.
type operatorAPI struct {
	*Host
}

var _ operat.ServerInterface = operatorAPI{}

func (h *Host) operatorHandler() http.Handler {
	app := newApp()
	operat.RegisterHandlers(app, operatorAPI{h})
	return h.requireKey(app)
}

// maxDomainTries is how often a command is tried again when another operator
// was first.
const maxDomainTries = 8

// SetDomain takes a failure domain out of service or back.
func (a operatorAPI) SetDomain(ctx iris.Context, id string) {
	change, ok := readBody[schema.DomainChange](a.Host, ctx)
	if !ok || a.unavailable(ctx) {
		return
	}
	if !a.knownDomain(id) {
		a.fail(ctx, failure(schema.NotFound, "no shard of the configuration has failure domain %q", id))
		return
	}
	for range maxDomainTries {
		if a.trySetDomain(ctx, id, change) {
			return
		}
	}
	a.fail(ctx, failure(schema.VersionConflict, "other operators keep changing failure domain %q", id))
}

func (a operatorAPI) knownDomain(id string) bool {
	config, _ := a.view.currentConfig()
	return slices.ContainsFunc(config.Document.Shards, func(s schema.ShardSpec) bool {
		return slices.Contains(s.Domains, id)
	})
}

// trySetDomain reports whether the call has been answered.
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
		conflict := failure(schema.VersionConflict, "failure domain %q is at epoch %d", id, old.Epoch)
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
		a.fail(ctx, failure(schema.OutcomeUnknown, "the command may have taken effect; list the failure domains to learn"))
		return true
	}
	if !outcome.Made {
		return false
	}
	logev.DomainAccepted.Log(a.log).Str("failure-domain", id).Bool("in-service", status.InService).
		Int64("epoch", status.Epoch).Str("reason", status.Reason).Send()
	a.learnDomain(sched.Domain{Status: status, Version: outcome.Version})
	a.shareChanges(false, true)
	a.broadcast(schema.PeerMessage{})
	a.reply(ctx, status)
	return true
}

// ListDomains shows the failure domains of the configuration.
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

// ListWorkers shows the workers as the host list gives them.
func (a operatorAPI) ListWorkers(ctx iris.Context) {
	list := schema.WorkerList{Workers: []schema.WorkerStatus{}}
	out := a.view.outDomains()
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

// DrainWorker keeps new work from a worker, or lets it have some again.
func (a operatorAPI) DrainWorker(ctx iris.Context, id string) {
	change, ok := readBody[schema.DrainChange](a.Host, ctx)
	if !ok || a.unavailable(ctx) {
		return
	}
	if !slices.ContainsFunc(a.view.workers(), func(w sched.Worker) bool { return w.ID == id }) {
		a.fail(ctx, failure(schema.NotFound, "there is no worker %q", id))
		return
	}
	write := store.Change{Put: []store.Row{rowOf(rows.Drain(id), change)}}
	if !change.Draining {
		write = store.Change{Remove: []store.Key{keyOf(rows.Drain(id))}}
	}
	if _, err := a.write(ctx, write); err != nil {
		a.fail(ctx, failure(schema.OutcomeUnknown, "the order may have taken effect; list the workers to learn"))
		return
	}
	logev.WorkerDrain.Log(a.log).Str("worker", id).Bool("draining", change.Draining).Send()
	a.nudgePoll()
	a.broadcast(schema.PeerMessage{ShardsReleased: true})
	a.reply(ctx, change)
}

// ListTeams shows the teams and their guarantees.
func (a operatorAPI) ListTeams(ctx iris.Context) {
	config, _ := a.view.currentConfig()
	a.reply(ctx, schema.TeamList{Teams: config.Document.Teams})
}

// GetConfig shows the configuration as the table has it.
func (a operatorAPI) GetConfig(ctx iris.Context) {
	row, err := a.readRow(ctx.Request().Context(), rows.ConfigCurrent)
	if err != nil {
		a.failRead(ctx, err)
		return
	}
	if row.Version == 0 {
		a.fail(ctx, failure(schema.NotFound, "there is no configuration yet"))
		return
	}
	config, err := decode[schema.ConfigVersion](row)
	if err != nil {
		a.failRead(ctx, err)
		return
	}
	a.reply(ctx, config)
}

// SetConfig accepts a new configuration if the expected version is current.
func (a operatorAPI) SetConfig(ctx iris.Context) {
	change, ok := readBody[schema.ConfigChange](a.Host, ctx)
	if !ok {
		return
	}
	if a.store.Health() == store.Down || a.isStopping() {
		a.unavailable(ctx)
		return
	}
	if err := confg.Check(change.Document, a.view.workers()); err != nil {
		code := schema.BadRequest
		if errors.Is(err, confg.ErrUnformable) {
			code = schema.UnformableGuarantee
		}
		logev.ConfigRefused.Log(a.log).Str("by", change.By).Err(err).Send()
		a.fail(ctx, failure(code, "%v", err))
		return
	}
	a.commitConfig(ctx, change)
}

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
		a.fail(ctx, failure(schema.OutcomeUnknown, "the change may have been accepted; get the configuration to learn"))
	case !outcome.Made:
		a.failConflict(ctx, change, current.Version+1)
	default:
		logev.ConfigAccepted.Log(a.log).Int64("config-version", next.Version).Str("by", next.By).Send()
		a.shareChanges(a.view.learnConfig(next, outcome.Version), false)
		a.broadcast(schema.PeerMessage{})
		a.reply(ctx, next)
	}
}

func (a operatorAPI) failConflict(ctx iris.Context, change schema.ConfigChange, current int64) {
	logev.ConfigRefused.Log(a.log).Str("by", change.By).Int64("expected", change.ExpectedVersion).Int64("current", current).Send()
	conflict := failure(schema.VersionConflict, "the configuration is at version %d, not %d", current, change.ExpectedVersion)
	conflict.CurrentVersion = current
	a.fail(ctx, conflict)
}

// ListConfigHistory shows the accepted configurations, newest first.
func (a operatorAPI) ListConfigHistory(ctx iris.Context) {
	found, err := a.readRows(ctx.Request().Context(), rows.Configs, rows.ConfigPrefix)
	if err != nil {
		a.failRead(ctx, err)
		return
	}
	history := schema.ConfigHistory{Versions: []schema.ConfigVersion{}}
	for _, row := range slices.Backward(found) {
		if version, ok := decodeLogged[schema.ConfigVersion](a.log, row); ok {
			history.Versions = append(history.Versions, version)
		}
	}
	a.reply(ctx, history)
}

// ListHosts shows the entry hosts as this one knows them.
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
