package registry

// Versions of a registry order its changes. A registry that comes back from an older copy of
// its data gives versions out again, so a version consists of the era, which rises each time
// that happens, and the number of the change in that era. Fencing numbers are versions.

// EraBits is the size of an era in a version; 40 bits are left for the number of a change.
const EraBits = 24

const eraShift = 64 - EraBits

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
