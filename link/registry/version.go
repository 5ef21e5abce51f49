package registry

// Versions of a registry order its changes. A registry that comes back from an older copy of
// its data gives versions out again, so a version consists of the era, which rises each time
// that happens, and the number of the change in that era. Fencing numbers are versions.

// eraShift leaves 40 bits for the number of a change and 24 for the era.
const eraShift = 40

// VersionOf returns the version of a change in an era. Era 0 is that of a registry that states
// none.
func VersionOf(era, change uint64) uint64 {
	return era<<eraShift | change
}

// EraOf returns the era of a version.
func EraOf(version uint64) uint64 {
	return version >> eraShift
}

// ChangeOf returns the number of the change in its era.
func ChangeOf(version uint64) uint64 {
	return version & (1<<eraShift - 1)
}
