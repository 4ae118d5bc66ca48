package filbertstile

// Role tells what a member of the system does.
type Role string

// Roles of members.
const (
	RoleEntry Role = "Entry"
	RoleHost  Role = "Host"
)

// Member is a process of the system as the host list and its own heartbeats
// show it.
type Member struct {
	Name    string
	Role    Role
	Region  string
	Domain  string
	Address string
	// HTTPAddress is where an entry answers callers.
	HTTPAddress string `json:",omitempty"`
	// Service is the service whose backend server a host process guards.
	Service string `json:",omitempty"`
	// Backend is the address of that backend server, where others send to it.
	Backend string `json:",omitempty"`
	// Leaving is true from the moment the process announced its stop.
	Leaving bool `json:",omitempty"`
}

// Key returns the member's name.
func (m Member) Key() string { return m.Name }

// WithLeaving returns the member with its stop announced.
func (m Member) WithLeaving() Member {
	m.Leaving = true
	return m
}
