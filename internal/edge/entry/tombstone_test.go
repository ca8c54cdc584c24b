package entry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanshore/rattanshore/internal/core/rows"
	"github.com/rattanshore/rattanshore/internal/edge/store"
)

// Guards against a tombstone that goes while a submission may still be recorded, or that
// stays for good.
func TestTombstonesAreRemovedAfterTheirLife(t *testing.T) {
	g := NewWithT(t)
	recordedAt := time.UnixMilli(5_000)
	tombstone := rowOf(rows.Tombstone("bell-7"), tombstoneRow{RecordedAt: recordedAt})
	tombstone.Version = 3
	unreadable := store.Row{Key: keyOf(rows.Tombstone("bell-8")), Value: []byte("{"), Version: 4}
	// An answer may rely on the tombstone until it is tombstoneRenewal old.
	lastAnswer := recordedAt.Add(tombstoneRenewal)
	over := overTombstones([]store.Row{tombstone, unreadable}, lastAnswer.Add(tombstoneLife-time.Millisecond))
	g.Expect(over).To(Equal([]store.Row{{Key: unreadable.Key, Version: 4}}))
	over = overTombstones([]store.Row{tombstone}, lastAnswer.Add(tombstoneLife))
	g.Expect(over).To(Equal([]store.Row{{Key: tombstone.Key, Version: 3}}))
	g.Expect(tombstoneLife).To(BeNumerically(">", submissionTimeout+time.Minute))
}
