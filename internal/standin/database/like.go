package database

import "strings"

// like reports whether s matches a pattern of LIKE: % stands for any text, _
// for one byte, a backslash takes the next byte literally.
func like(pattern, s string) bool {
	for pattern != "" {
		switch c := pattern[0]; {
		case c == '%':
			return likeAny(pattern[1:], s)
		case s == "":
			return false
		case c == '\\' && len(pattern) > 1:
			pattern = pattern[1:]
			if pattern[0] != s[0] {
				return false
			}
		case c != '_' && c != s[0]:
			return false
		}
		pattern, s = pattern[1:], s[1:]
	}
	return s == ""
}

// likeAny matches the pattern after a % against every rest of s.
func likeAny(pattern, s string) bool {
	pattern = strings.TrimLeft(pattern, "%")
	if pattern == "" {
		return true
	}
	for i := 0; i <= len(s); i++ {
		if like(pattern, s[i:]) {
			return true
		}
	}
	return false
}
