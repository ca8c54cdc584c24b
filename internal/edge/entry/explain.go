package entry

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/rattanshore/rattanshore/internal/core/block"
	"github.com/rattanshore/rattanshore/internal/core/sched"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

// forwardedHeader marks an explain call that was forwarded by another entry
// host, so that it is not forwarded again.
const forwardedHeader = "X-Rattanshore-Forwarded"

// explain asks the shard's scheduler why a job is in its present state.
func (o *ownedShard) explain(ctx context.Context, status schema.JobStatus) schema.Explanation {
	answer := explainRow(status)
	o.scheduler.Inspect(ctx, func(m *sched.Model[block.BestFit]) {
		if text, known := m.Explain(status.Spec.ID); known {
			answer.Text = text
		}
	})
	return answer
}

// explainRow explains a job from its stored status alone.
func explainRow(status schema.JobStatus) schema.Explanation {
	text := "the job is " + string(status.State)
	if status.Reason != "" {
		text += ": " + status.Reason
	}
	return schema.Explanation{
		ID: status.Spec.ID, State: status.State, Text: text,
		Rule: status.Rule, ConfigVersion: status.ConfigVersion,
	}
}

// askShardOwner forwards an explain call to the host that owns the shard.
func (h *Host) askShardOwner(ctx context.Context, shard, id string) (schema.Explanation, error) {
	lease := h.view.lease(shard)
	for _, r := range h.view.hostRows() {
		if r.ID != lease.Owner {
			continue
		}
		client, err := schema.NewClientWithResponses("http://" + r.Caller.String())
		if err != nil {
			return schema.Explanation{}, err
		}
		response, err := client.ExplainJobWithResponse(ctx, id, func(_ context.Context, request *http.Request) error {
			request.Header.Set(forwardedHeader, "1")
			return nil
		})
		if err != nil {
			return schema.Explanation{}, err
		}
		if response.JSON200 != nil {
			return *response.JSON200, nil
		}
	}
	return schema.Explanation{}, errors.New("the host that owns the shard did not answer")
}
