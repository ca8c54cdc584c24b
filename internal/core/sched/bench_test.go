package sched_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/block"
	"github.com/rattanshore/rattanshore/internal/core/sched"
	"github.com/rattanshore/rattanshore/internal/wire/plat"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

// benchModel returns a scheduler with the given number of synced workers, in
// four failure domains and 6 to a rack, and teams with a guarantee of 8 tasks of
// 8 accelerators each.
func benchModel(workers, teams int) (*sched.Model[block.BestFit], time.Time) {
	m := sched.New(sched.Shard{Name: "halls", Epoch: 1}, block.BestFit{}, sched.DefaultTiming())
	document := documentOf()
	for i := range teams {
		document.Teams = append(document.Teams, teamOf(fmt.Sprintf("team-%d", i),
			schema.GuaranteeBlock{Count: 1, Tasks: 8, Accelerators: 8}))
	}
	list := make([]sched.Worker, workers)
	for i := range list {
		domain := fmt.Sprintf("domain-%d", i%4)
		list[i] = sched.Worker{
			ID: fmt.Sprintf("worker-%04d", i), Domain: domain, Rack: fmt.Sprintf("%s-%d", domain, i/24),
			Accelerators: 8, Address: address,
		}
	}
	now := start
	m.Update(now, sched.ConfigMsg{Config: schema.ConfigVersion{Version: 1, Document: document}, Version: 1})
	m.Update(now, sched.WorkersMsg{Workers: list})
	m.Update(now, sched.LoadedMsg{})
	_, cmds := m.Update(now, sched.TickMsg{})
	answer(m, now, cmds)
	return m, now
}

// answer accepts every call and commit at once, until there are no more
// commands. Syncs that a worker may answer later stay unanswered.
func answer(m *sched.Model[block.BestFit], now time.Time, cmds []sched.Cmd) {
	for len(cmds) > 0 {
		var next []sched.Cmd
		for _, cmd := range cmds {
			var more []sched.Cmd
			switch cmd := cmd.(type) {
			case sched.CallWorkerCmd:
				if cmd.Call.Verb == plat.Sync && !cmd.Call.WaitUntil.IsZero() {
					continue
				}
				_, more = m.Update(now, sched.WorkerReplyMsg{
					Worker: cmd.Worker, Call: cmd.Call, SentAt: now, Reply: plat.WorkerReply{Accepted: true},
				})
			case sched.CommitCmd:
				_, more = m.Update(now, sched.CommitResultMsg{Batch: cmd.Batch, Committed: true})
			}
			next = append(next, more...)
		}
		cmds = next
	}
}

func benchJob(i, tasks int) schema.JobStatus {
	return schema.JobStatus{
		Spec: schema.JobSpec{
			ID: fmt.Sprintf("job-%06d", i), Team: fmt.Sprintf("team-%d", i%4), Kind: "model",
			Class: schema.Patient, Tasks: tasks, Accelerators: 8,
		},
		State: schema.Waiting, SubmittedAt: start.Add(time.Duration(i) * time.Millisecond),
	}
}

// BenchmarkPlacement places and starts gangs of 4 tasks. The shard is replaced
// by an empty one when it is half full. The target size of a shard is 205
// workers; 4300 shows how the cost grows beyond it.
func BenchmarkPlacement(b *testing.B) {
	for _, workers := range []int{50, 205, 1000, 4300} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			b.ReportAllocs()
			m, now := benchModel(workers, 4)
			placed := 0
			for i := 0; b.Loop(); i++ {
				if placed*4 > workers/2 {
					b.StopTimer()
					m, now = benchModel(workers, 4)
					placed = 0
					b.StartTimer()
				}
				now = now.Add(20 * time.Millisecond)
				_, cmds := m.Update(now, sched.JobMsg{Job: benchJob(i, 4)})
				answer(m, now, cmds)
				placed++
			}
		})
	}
}

// BenchmarkPass measures a scheduling pass over jobs that wait for a full shard.
func BenchmarkPass(b *testing.B) {
	for _, jobs := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			m, now := benchModel(205, 12)
			for i := range jobs + 60 {
				now = now.Add(20 * time.Millisecond)
				_, cmds := m.Update(now, sched.JobMsg{Job: benchJob(i, 4)})
				answer(m, now, cmds)
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(2 * time.Second)
				m.Update(now, sched.CancelMsg{ID: "none"})
			}
		})
	}
}

// BenchmarkTick measures a tick that checks all gangs and workers and finds
// nothing due.
func BenchmarkTick(b *testing.B) {
	for _, workers := range []int{50, 205, 820} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			m, now := benchModel(workers, 4)
			for i := range workers / 2 {
				now = now.Add(20 * time.Millisecond)
				_, cmds := m.Update(now, sched.JobMsg{Job: benchJob(i, 2)})
				answer(m, now, cmds)
			}
			b.ReportAllocs()
			for b.Loop() {
				m.Update(now, sched.TickMsg{})
			}
		})
	}
}

// BenchmarkMemory reports the heap that the scheduler uses for each worker and
// for each job, a gang of 8 tasks.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		empty := heapOf(func() any { m, _ := benchModel(205, 12); return m })
		large := heapOf(func() any { m, _ := benchModel(4305, 12); return m })
		full := heapOf(func() any {
			m, now := benchModel(205, 12)
			for i := range 10000 {
				now = now.Add(20 * time.Millisecond)
				_, cmds := m.Update(now, sched.JobMsg{Job: benchJob(i, 8)})
				answer(m, now, cmds)
			}
			return m
		})
		b.ReportMetric(float64(large-empty)/4100, "bytes/worker")
		b.ReportMetric(float64(full-empty)/10000, "bytes/job")
		b.ReportMetric(float64(empty)/1024, "KiB/shard")
	}
}

func heapOf(build func() any) int64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return int64(after.HeapAlloc) - int64(before.HeapAlloc)
}
