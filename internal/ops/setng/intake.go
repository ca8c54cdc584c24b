package setng

import (
	"fmt"

	"golang.org/x/sys/unix"
)

// Intake bounds what callers can make a host hold, whatever they send. A request inside the
// platform's limits never meets these when the host is not under pressure.
type Intake struct {
	// MemoryMB is the memory in MB that the connections of callers may hold together.
	MemoryMB int `yaml:"memory-mb"`
	// OtherMemoryMB is the same for each of the other listeners.
	OtherMemoryMB int `yaml:"other-memory-mb"`
	// Connections is the largest number of callers' connections.
	Connections int `yaml:"connections"`
	// PeerConnections is the same for the peers' listener.
	PeerConnections int `yaml:"peer-connections"`
	// HeaderBytes is the largest head of a request that is read, in bytes.
	HeaderBytes int `yaml:"header-bytes"`
	// BodyBytes is the largest body of a request, in bytes.
	BodyBytes int64 `yaml:"body-bytes"`
}

// DefaultIntake returns the defaults.
func DefaultIntake() Intake {
	return Intake{
		MemoryMB: 32, OtherMemoryMB: 24, Connections: 1024, PeerConnections: 1024,
		HeaderBytes: 64 << 10, BodyBytes: 1 << 20,
	}
}

const (
	// minHeaderBytes leaves room for a head with a key and a long path.
	minHeaderBytes = 1 << 10
	// minMemoryMB is what a host needs to serve one request at a time.
	minMemoryMB = 4
	// bytesPerMB converts settings in MB.
	bytesPerMB = 1 << 20
	// bodyShare is the largest part of the memory that one body may take, since it is read,
	// copied and decoded.
	bodyShare = 8
)

// problem returns the first key that cannot be used and why, or two empty texts.
func (i Intake) problem() (key, problem string) {
	for _, v := range []struct {
		key          string
		value, least int64
	}{
		{"memory-mb", int64(i.MemoryMB), minMemoryMB},
		{"other-memory-mb", int64(i.OtherMemoryMB), minMemoryMB},
		{"connections", int64(i.Connections), 1},
		{"peer-connections", int64(i.PeerConnections), 1},
		{"header-bytes", int64(i.HeaderBytes), minHeaderBytes},
		{"body-bytes", i.BodyBytes, 1},
	} {
		if v.value < v.least {
			return v.key, fmt.Sprintf("must be at least %d", v.least)
		}
	}
	if most := int64(min(i.MemoryMB, i.OtherMemoryMB)) * bytesPerMB / bodyShare; i.BodyBytes > most {
		return "body-bytes", fmt.Sprintf("must be at most an eighth of memory-mb and of other-memory-mb, %d", most)
	}
	return "", ""
}

// Machine is what a process may use of its machine.
type Machine struct {
	// MemoryMB is the memory in MB; 0 is all that the machine has.
	MemoryMB int `yaml:"memory-mb"`
	// Descriptors is the number of open descriptors; 0 is the limit of the process.
	Descriptors int `yaml:"descriptors"`
}

// memoryLimitPercent is the part of the memory that the runtime may use for the heap and its
// own state. The rest is for the program's pages and for what sockets hold.
const memoryLimitPercent = 85

// MemoryLimit returns the limit in bytes that the runtime is given, or 0 if the machine's
// memory is not known.
func (m Machine) MemoryLimit() int64 {
	memory := int64(m.MemoryMB) * bytesPerMB
	if memory == 0 {
		var info unix.Sysinfo_t
		if unix.Sysinfo(&info) != nil {
			return 0
		}
		memory = int64(info.Totalram) * int64(info.Unit)
	}
	return memory / 100 * memoryLimitPercent
}

// MaxDescriptors returns how many descriptors the process may have open.
func (m Machine) MaxDescriptors() int {
	// unlimited bounds the figure where the system sets no limit.
	const unlimited = 1 << 20
	if m.Descriptors > 0 {
		return m.Descriptors
	}
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return unlimited
	}
	return int(min(limit.Cur, unlimited))
}
