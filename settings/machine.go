package settings

// Machine holds what the machine of a process grants it. The bounds on what callers can
// make the process hold follow from it, see package ingress.
type Machine struct {
	MemoryMB       int `json:"memory_mb,omitempty"`       // memory that the process may use, in 10^6 bytes; default 1024
	MaxDescriptors int `json:"max_descriptors,omitempty"` // descriptors that the process may open; default its RLIMIT_NOFILE, read at start
}

// Limits of Machine.
const (
	DefaultMemoryMB = 1024
	// MinMemoryMB is the smallest memory in which an entry without callers fits.
	MinMemoryMB = 32
	// MinDescriptors leaves a process some connections beside its files.
	MinDescriptors = 256
)

func (m *Machine) check(f *findings) {
	f.optionalAtLeast("/memory_mb", m.MemoryMB, MinMemoryMB)
	f.optionalAtLeast("/max_descriptors", m.MaxDescriptors, MinDescriptors)
	setDefault(&m.MemoryMB, DefaultMemoryMB)
}
