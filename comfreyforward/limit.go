package comfreyforward

import "runtime/debug"

const (
	// reservedDescriptors are set aside for files; the platform reserves as
	// many. A limit that leaves less than minDescriptorShare of the descriptors
	// reserves fewer.
	reservedDescriptors = 200
	minDescriptorShare  = 0.25
	// callerDescriptorShare is the part of the other descriptors that
	// connections of callers may use; the rest is for connections to replicas,
	// the store and other gateways.
	callerDescriptorShare = 0.6
	// heapShare is the part of the allowed memory that is set as the memory
	// limit of the Go runtime; the rest is for stacks, sockets and memory that
	// the runtime does not count.
	heapShare = 0.75
)

// maxCallerConnections returns how many connections of callers may be open for
// a limit of descriptors; zero means no bound.
func maxCallerConnections(descriptors int) int {
	if descriptors <= 0 {
		return 0
	}
	usable := max(float64(descriptors-reservedDescriptors), minDescriptorShare*float64(descriptors))
	return max(int(callerDescriptorShare*usable), 1)
}

// setMemoryLimit derives the memory limit of the Go runtime from the allowed
// memory in bytes; zero means no limit.
func setMemoryLimit(allowed int64) {
	if allowed > 0 {
		debug.SetMemoryLimit(int64(float64(allowed) * heapShare))
	}
}
