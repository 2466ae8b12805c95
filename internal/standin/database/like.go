package database

// like reports whether s matches a pattern of LIKE: % stands for any text, _
// for one byte, a backslash takes the next byte literally.
//
// Only the newest % is ever tried again. That is enough, since an earlier one
// could only take text that the newest can take as well, and it keeps a
// pattern of many % from holding the database for minutes.
func like(pattern, s string) bool {
	retryPattern, retryText := -1, 0
	p, i := 0, 0
	for i < len(s) {
		if p < len(pattern) && pattern[p] == '%' {
			p++
			retryPattern, retryText = p, i
			continue
		}
		if width, ok := likeByte(pattern[p:], s[i]); ok {
			p += width
			i++
			continue
		}
		if retryPattern < 0 {
			return false
		}
		retryText++
		p, i = retryPattern, retryText
	}
	for p < len(pattern) && pattern[p] == '%' {
		p++
	}
	return p == len(pattern)
}

// likeByte matches one byte with the start of the pattern and returns how much
// of the pattern it took.
func likeByte(pattern string, c byte) (width int, ok bool) {
	switch {
	case pattern == "":
		return 0, false
	case pattern[0] == '\\' && len(pattern) > 1:
		return 2, pattern[1] == c
	}
	return 1, pattern[0] == '_' || pattern[0] == c
}
