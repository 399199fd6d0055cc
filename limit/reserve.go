package limit

// Reserve returns how many of the slots of a service batch work leaves free for online
// work: the percentage, rounded up, of all slots but one. Batch work can always use one
// slot, so it goes on however few slots a service has left.
func Reserve(slots, percent int) int {
	return (max(slots-1, 0)*percent + 99) / 100
}
