package relay_test

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/rattanshore/rattanshore/internal/edge/relay"
	"github.com/rattanshore/rattanshore/internal/edge/store"
)

// Guards against a caller who is told that a job was not stored, since a peer of
// another version does not relay it, while the store may carry out the direct call.
func TestPeerThatDoesNotRelay(t *testing.T) {
	log := zerolog.Nop()
	peer := httptest.NewServer(relay.Handler(relay.NewServer(brokenStore{err: store.ErrRefused}, nil, nil, &log)))
	defer peer.Close()
	links := relay.NewLinks()
	links.SetPeers([]netip.AddrPort{netip.MustParseAddrPort(strings.TrimPrefix(peer.URL, "http://"))})
	cases := map[string]struct {
		direct brokenStore
		want   error
	}{
		"answer was lost": {brokenStore{err: store.ErrUnanswered}, store.ErrUnanswered},
		"still under way": {brokenStore{err: store.ErrUnanswered, delay: 600 * time.Millisecond}, store.ErrUnanswered},
		"turned away":     {brokenStore{err: store.ErrRefused}, store.ErrInvalid},
		"late answer":     {brokenStore{delay: 600 * time.Millisecond}, nil},
	}
	for name, c := range cases {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		_, err := relay.NewStore(c.direct, links, &log).Transact(ctx, insertion("jobs", "a", "one"))
		cancel()
		if !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", name, err, c.want)
		}
		if errors.Is(c.want, store.ErrUnanswered) && (errors.Is(err, store.ErrRefused) || errors.Is(err, store.ErrInvalid)) {
			t.Errorf("%s: %v says that nothing was stored", name, err)
		}
	}
}
