package relay

import (
	"context"
	"net/netip"
	"time"

	wire "github.com/rattanshore/rattanshore/internal/wire/relay"
)

// witnessTimeout bounds a call to a witness, the opening of its link included.
const witnessTimeout = 500 * time.Millisecond

// Vouch asks the host at the address to vouch for the leader that has stored the given
// version of the leader row.
func (l *Links) Vouch(ctx context.Context, host netip.AddrPort, version int64) (Testimony, error) {
	return l.ask(ctx, host, wire.Request{Operation: wire.Vouch, RowVersion: version})
}

// Withdraw asks the host at the address to vouch no more for leaders up to that version.
func (l *Links) Withdraw(ctx context.Context, host netip.AddrPort, version int64) (Testimony, error) {
	return l.ask(ctx, host, wire.Request{Operation: wire.Withdraw, RowVersion: version})
}

func (l *Links) ask(ctx context.Context, host netip.AddrPort, request wire.Request) (Testimony, error) {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	answer, err := l.callPeer(ctx, host, request)
	return Testimony{Host: answer.Host, Incarnation: answer.Incarnation, Agreed: answer.Agreed}, err
}
