package store_test

import (
	"context"
	"testing"
	"time"

	"github.com/rattanshore/rattanshore/internal/edge/store"
	"github.com/rattanshore/rattanshore/internal/ops/metrc"
)

// driftingStore has a clock that runs at the given rate, compared with ours.
type driftingStore struct {
	store.Store
	begin time.Time
	rate  float64
}

func (d driftingStore) now() time.Time {
	return d.begin.Add(time.Duration(d.rate * float64(time.Since(d.begin))))
}

func (d driftingStore) Range(context.Context, store.Span, int) (store.Rows, error) {
	return store.Rows{Version: 1, Clock: d.now()}, nil
}

func (d driftingStore) Changes(context.Context, string, int64, time.Duration) (store.Rows, error) {
	return store.Rows{Clock: time.UnixMilli(0)}, store.ErrUnanswered
}

// Guards against hosts that take the leadership from each other all the time: one
// whose clock runs faster than the store's would find each renewal long ago.
func TestClockFollowsStore(t *testing.T) {
	for _, rate := range []float64{0.8, 0.98, 1.2} {
		s := driftingStore{begin: time.Now(), rate: rate}
		client := store.NewClient(s, &metrc.NewFleet().Store)
		for range 50 {
			time.Sleep(20 * time.Millisecond)
			if _, err := client.Range(context.Background(), store.Span{}, 1); err != nil {
				t.Fatal(err)
			}
			if _, err := client.Changes(context.Background(), "", 0, 0); err == nil {
				t.Fatal("a call without a reading has succeeded")
			}
		}
		if ahead := client.Clock().Sub(s.now()).Abs(); ahead > 15*time.Millisecond {
			t.Errorf("with a store's clock at %.2f of ours, its reading is %v off", rate, ahead)
		}
	}
}
