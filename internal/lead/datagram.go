package lead

const (
	// maxGroupsBytes bounds the list of groups of a renewal in bytes: its answer has an entry for each as well, and
	// rows besides.
	maxGroupsBytes = 24_000
	// groupOverhead is the maximum size of an entry besides its names, in bytes.
	groupOverhead = 40
)

// inMessages divides a list of groups into parts that fit into one renewal each.
func inMessages(groups []groupEntry) [][]groupEntry {
	var parts [][]groupEntry
	begin, size := 0, 0
	for i, p := range groups {
		own := len(p.Group) + len(p.Target) + groupOverhead
		if size+own > maxGroupsBytes && i > begin {
			parts = append(parts, groups[begin:i])
			begin, size = i, 0
		}
		size += own
	}
	if begin < len(groups) {
		parts = append(parts, groups[begin:])
	}
	return parts
}
