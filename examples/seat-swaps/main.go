// Command seat-swaps runs the workload of a seating planner on a small cluster:
// season layouts as gangs, and riser layouts, wheelchair-space checks and seat
// swaps that must not run twice. Meanwhile a concert venue is taken out of
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
	venues := []string{"venue-a", "venue-b", "venue-c", "venue-d"}
	w := inproc.Workload{
		Layout:         site.Layout{Domains: venues, Workers: 12, Accelerators: 8, WorkersPerRack: 6, Targets: 8, Slots: 8, RejectStale: true},
		Hosts:          3,
		RequestTimeout: 2 * time.Second,
		DomainOut:      "venue-b",
		Cancel:         "season-1",
	}
	w.Document = schema.ConfigDocument{
		Shards: []schema.ShardSpec{{Name: "venues", Domains: venues}},
		Teams: []schema.TeamStatus{
			{Name: "seasons", Guarantee: []schema.GuaranteeBlock{{Shard: "venues", Count: 1, Tasks: 4, Accelerators: 8}}},
			{Name: "access", Guarantee: []schema.GuaranteeBlock{{Shard: "venues", Count: 6, Tasks: 1, Accelerators: 2}}},
		},
	}
	for i := range 6 {
		w.Jobs = append(w.Jobs, schema.JobSpec{
			ID: fmt.Sprintf("season-%d", i), Team: "seasons", Kind: "season-layout", Class: schema.Patient,
			Tasks: 6, Accelerators: 8, Input: "run-for=1500ms",
		})
	}
	for i := range 8 {
		w.Jobs = append(w.Jobs, schema.JobSpec{
			ID: fmt.Sprintf("riser-%d", i), Team: "access", Kind: "riser-layout", Class: schema.Urgent,
			Tasks: 1, Accelerators: 2, NonIdempotent: true, Input: "run-for=300ms",
		})
	}
	for i := range 120 {
		kind := "seat-swap"
		if i%4 == 0 {
			kind = "wheelchair-check"
		}
		w.Requests = append(w.Requests, schema.CallRequest{
			ID: fmt.Sprintf("%s-%d", kind, i), Kind: kind, Class: schema.Urgent, NonIdempotent: true, Body: "run-for=40ms",
		})
	}
	return w
}
