package siskinrill

import "slices"

// RegionAllowed reports whether a list of allowed regions contains a region; an empty list allows all.
func RegionAllowed(allowed []string, region string) bool {
	return len(allowed) == 0 || slices.Contains(allowed, region)
}
