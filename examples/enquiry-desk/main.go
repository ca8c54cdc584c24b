// Command enquiry-desk runs the workload of a bell foundry on a small cluster:
// long acoustic models and alloy estimates as gangs, and tower load checks and
// quotes that must not run twice. Meanwhile a foundry hall is taken out of
// service and put back.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/rattanshore/rattanshore/internal/fakes/site"
	"github.com/rattanshore/rattanshore/internal/proof/inproc"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

func main() {
	if err := inproc.Run(context.Background(), workload(), os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func workload() inproc.Workload {
	halls := []string{"hall-north", "hall-south", "hall-east", "hall-west"}
	w := inproc.Workload{
		Layout:         site.Layout{Domains: halls, Workers: 16, Accelerators: 8, WorkersPerRack: 4, Targets: 8, Slots: 8, RejectStale: true},
		Hosts:          3,
		RequestTimeout: 2 * time.Second,
		DomainOut:      "hall-east",
		Cancel:         "acoustic-3",
	}
	w.Document = schema.ConfigDocument{
		Shards: []schema.ShardSpec{{Name: "foundry", Domains: halls}},
		Teams: []schema.TeamStatus{
			{Name: "acoustics", Guarantee: []schema.GuaranteeBlock{{Shard: "foundry", Count: 1, Tasks: 4, Accelerators: 8, Adjacent: true}}},
			{Name: "estimates", Guarantee: []schema.GuaranteeBlock{{Shard: "foundry", Count: 4, Tasks: 1, Accelerators: 4}}},
		},
	}
	for i := range 6 {
		w.Jobs = append(w.Jobs, schema.JobSpec{
			ID: fmt.Sprintf("acoustic-%d", i), Team: "acoustics", Kind: "acoustic-model", Class: schema.Patient,
			Tasks: 4, Accelerators: 8, Adjacent: true, Input: "run-for=2s",
		})
	}
	for i := range 12 {
		w.Jobs = append(w.Jobs, schema.JobSpec{
			ID: fmt.Sprintf("alloy-%d", i), Team: "estimates", Kind: "alloy-estimate", Class: schema.Urgent,
			Tasks: 2, Accelerators: 2, Input: "run-for=400ms",
		})
	}
	for i := range 4 {
		w.Jobs = append(w.Jobs, schema.JobSpec{
			ID: fmt.Sprintf("tower-%d", i), Team: "estimates", Kind: "tower-load-check", Class: schema.Urgent,
			Tasks: 1, Accelerators: 4, NonIdempotent: true, Input: "run-for=300ms",
		})
	}
	for i := range 120 {
		w.Requests = append(w.Requests, schema.CallRequest{
			ID: fmt.Sprintf("quote-%d", i), Kind: "quote", Class: schema.Urgent, NonIdempotent: true, Body: "run-for=40ms",
		})
	}
	return w
}
