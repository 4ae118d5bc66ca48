package filbertstile

// Role is the kind of a member process.
type Role string

// Roles of members.
const (
	RoleEntry Role = "Entry"
	RoleHost  Role = "Host"
)

// Member is a process of the system, as described by the host list and by the
// process's own heartbeats.
type Member struct {
	Name    string
	Role    Role
	Region  string
	Domain  string
	Address string
	// HTTPAddress is the address at which an entry serves callers.
	HTTPAddress string `json:",omitempty"`
	// Service is the service of a host process's backend server.
	Service string `json:",omitempty"`
	// Backend is the address of that backend server, if other processes send
	// requests to it directly.
	Backend string `json:",omitempty"`
	// Leaving is true after the process has announced a planned stop.
	Leaving bool `json:",omitempty"`
}

// Key returns the member's name.
func (m Member) Key() string { return m.Name }

// WithLeaving returns a copy of the member with Leaving set.
func (m Member) WithLeaving() Member {
	m.Leaving = true
	return m
}
