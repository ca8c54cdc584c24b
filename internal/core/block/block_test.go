package block_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/rattanshore/rattanshore/internal/core/block"
	"github.com/rattanshore/rattanshore/internal/proof/seed"
)

func TestMain(m *testing.M) {
	seed.Main(m)
}

// Two accelerators are taken from the smallest free block that holds them, so the
// free block of four is not split.
func ExampleMask_Fit() {
	free := block.Full(8) &^ 0b0011
	taken, ok := free.Fit(2)
	fmt.Printf("%08b %t\n", taken, ok)
	// Output: 00001100 true
}

func ExampleBestFit_Place() {
	pool := block.NewPool([]block.Worker{
		{ID: "a", Rack: "rack-1", Total: block.Full(8)},
		{ID: "b", Rack: "rack-1", Total: block.Full(8)},
		{ID: "c", Rack: "rack-2", Total: block.Full(8)},
	})
	for _, p := range (block.BestFit{}).Place(pool, pool.Totals(), block.Shape{Tasks: 1, Accelerators: 4}) {
		fmt.Println(pool.Workers[p.Worker].ID, p.Mask.Count())
	}
	// Output: c 4
}

// TestFitIsAlignedAndFree checks that Fit returns free accelerators of the right
// number, and finds a position whenever there is one.
func TestFitIsAlignedAndFree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		free := block.Mask(rapid.Uint64().Draw(t, "free"))
		n := rapid.IntRange(1, 16).Draw(t, "n")
		taken, ok := free.Fit(n)
		if !ok {
			for offset := 0; offset+n <= block.MaxAccelerators; offset += block.Align(n) {
				if want := block.Full(n) << offset; free&want == want {
					t.Fatalf("%d accelerators are free at %d of %064b", n, offset, free)
				}
			}
			return
		}
		if taken.Count() != n || taken&^free != 0 {
			t.Fatalf("%064b is not %d accelerators of %064b", taken, n, free)
		}
	})
}

// TestPoliciesAgreeOnWhatFits checks that all policies agree on whether a gang
// fits, and that the places of BestFit are free and, for adjacent gangs, in one
// rack.
func TestPoliciesAgreeOnWhatFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var workers []block.Worker
		for i := range rapid.IntRange(1, 12).Draw(t, "workers") {
			workers = append(workers, block.Worker{
				ID: fmt.Sprintf("%02d", i), Domain: fmt.Sprint(i % 2), Rack: fmt.Sprint(i % 4), Total: block.Full(8),
			})
		}
		pool := block.NewPool(workers)
		avail := pool.Totals()
		for i := range avail {
			avail[i] &= block.Mask(rapid.Uint64().Draw(t, "free"))
		}
		shape := block.Shape{
			Tasks:        rapid.IntRange(1, 6).Draw(t, "tasks"),
			Accelerators: rapid.IntRange(1, 8).Draw(t, "accelerators"),
			Adjacent:     rapid.Bool().Draw(t, "adjacent"),
		}
		best := (block.BestFit{}).Place(pool, avail, shape)
		first := (block.FirstFit{}).Place(pool, avail, shape)
		worst := (block.WorstFit{}).Place(pool, avail, shape)
		if (best == nil) != (first == nil) || (first == nil) != (worst == nil) {
			t.Fatalf("best fit %v, first fit %v, worst fit %v", best, first, worst)
		}
		rack := ""
		for _, p := range best {
			if p.Mask&^avail[p.Worker] != 0 || p.Mask.Count() != shape.Accelerators {
				t.Fatalf("place %v is not free", p)
			}
			avail[p.Worker] &^= p.Mask
			w := pool.Workers[p.Worker]
			if shape.Adjacent && rack != "" && rack != w.Rack+w.Domain {
				t.Fatalf("places in two racks: %v", best)
			}
			rack = w.Rack + w.Domain
		}
	})
}
