package apfleet

// CompareBool orders false before true, as cmp.Compare orders numbers.
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
