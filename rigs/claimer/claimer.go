// Package claimer claims TCP ports on loopback for processes that start later, or again.
package claimer

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
)

const (
	// firstPort is above the ports that well-known services use.
	firstPort = 10000
	// ephemeralRangeFile holds the ports that the kernel gives to outgoing connections,
	// and defaultEphemeralPort is the first of them where the file does not exist.
	ephemeralRangeFile   = "/proc/sys/net/ipv4/ip_local_port_range"
	defaultEphemeralPort = 32768
	// claimAddress is the loopback address on which those who claim a port number listen.
	// Nothing else listens there.
	claimAddress = "127.0.0.77"
	// maxAttempts is the number of ports that New tries.
	maxAttempts = 200
)

// ErrNoPort reports that no port could be claimed.
var ErrNoPort = errors.New("claim port: no free port on loopback")

// Claim is a TCP port on 127.0.0.1 that nothing else uses until the claim is released, even
// while the process that listens there is stopped: it is below the range from which outgoing
// connections take theirs, and no other claim has it.
type Claim struct {
	Port     int
	listener net.Listener
}

// New claims a port.
func New() (Claim, error) {
	limit := FirstEphemeralPort()
	for range maxAttempts {
		c, err := newClaim(firstPort + rand.IntN(limit-firstPort))
		if err != nil {
			continue
		}
		l, err := net.Listen("tcp", c.Address())
		if err != nil {
			c.Release()
			continue
		}
		_ = l.Close()
		return c, nil
	}
	return Claim{}, ErrNoPort
}

// newClaim claims the port. It fails if another claim, in this process or in another, has it.
func newClaim(port int) (Claim, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(claimAddress, strconv.Itoa(port)))
	if err != nil {
		return Claim{}, fmt.Errorf("claim port %d: %w", port, err)
	}
	return Claim{Port: port, listener: l}, nil
}

// Address returns the address of the port.
func (c Claim) Address() string { return fmt.Sprintf("127.0.0.1:%d", c.Port) }

// Release ends the claim.
func (c Claim) Release() { _ = c.listener.Close() }

// FirstEphemeralPort returns the first port that an outgoing connection may take.
func FirstEphemeralPort() int {
	data, err := os.ReadFile(ephemeralRangeFile)
	if err != nil {
		return defaultEphemeralPort
	}
	first, _, _ := strings.Cut(strings.TrimSpace(string(data)), "\t")
	n, err := strconv.Atoi(first)
	if err != nil {
		return defaultEphemeralPort
	}
	return max(n, firstPort+maxAttempts)
}
