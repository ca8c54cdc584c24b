package evict_test

import (
	"slices"
	"testing"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/evict"
)

// The load is that of a listener whose connections hold all that they may.
func TestChoose(t *testing.T) {
	at := func(seconds int) time.Time { return time.Unix(int64(seconds), 0) }
	for _, c := range []struct {
		name  string
		conns []evict.Conn
		want  int
	}{
		{"no connection", nil, -1},
		{"a body that stops midway goes before small requests", []evict.Conn{
			{Bytes: 300, ActiveAt: at(1)}, {Bytes: 200_000, ActiveAt: at(9)}, {Bytes: 500, ActiveAt: at(2)},
		}, 1},
		{"of idle connections the one that was inactive longest goes", []evict.Conn{
			{Bytes: 20, ActiveAt: at(5)}, {Bytes: 20, ActiveAt: at(3)}, {Bytes: 20, ActiveAt: at(4)},
		}, 1},
		{"a request that is being handled stays, however large", []evict.Conn{
			{Bytes: 900, ActiveAt: at(1), Busy: true}, {Bytes: 20, ActiveAt: at(2)},
		}, 1},
		{"all are being handled", []evict.Conn{{Bytes: 900, Busy: true}, {Bytes: 20, Busy: true}}, -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, ok := evict.Choose(slices.All(c.conns))
			if !ok {
				got = -1
			}
			if got != c.want {
				t.Errorf("got %d, want %d", got, c.want)
			}
		})
	}
}
