package guard

import "github.com/rattanshore/rattanshore/internal/ops/setng"

const (
	// fileDescriptors are left for files and for the runtime.
	fileDescriptors = 200
	// storeDescriptors are left for calls to the store and to peers.
	storeDescriptors = 64
	// minCallers are left to callers however many connections the host itself needs.
	minCallers = 64
	// peerShare is the largest part of the descriptors that peers may take.
	peerShare = 4
)

// Shares divides the descriptors of a process. The host's own calls come first, and callers
// get what is left.
type Shares struct {
	// Peers is the largest number of connections to the peers' listener.
	Peers   int
	callers int
	left    int
}

// NewShares divides the given number of descriptors between the peers' listener, one small
// listener, callers and the host's own calls.
func NewShares(limits setng.Intake, descriptors int) Shares {
	peers := min(limits.PeerConnections, descriptors/peerShare)
	left := descriptors - fileDescriptors - storeDescriptors - SmallListener - peers
	return Shares{Peers: peers, callers: limits.Connections, left: left}
}

// Callers returns the largest number of callers' connections while the host's calls to
// workers and targets need own descriptors.
func (s Shares) Callers(own int) int {
	return max(minCallers, min(s.callers, s.left-own))
}
