package apfleet

// CompareBool is like cmp.Compare for bool values; false is less than true.
func CompareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}
