package database

// like reports whether s matches a LIKE pattern: % matches any text, _ matches
// one byte, and a backslash escapes the next byte.
//
// Backtracking retries only the most recent %. That is sufficient, since an
// earlier one could only match text that the most recent one can match as well,
// and it prevents a pattern with many % from blocking the database for minutes.
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

// likeByte matches c against the start of the pattern. width is the number of
// pattern bytes that it consumed.
func likeByte(pattern string, c byte) (width int, ok bool) {
	switch {
	case pattern == "":
		return 0, false
	case pattern[0] == '\\' && len(pattern) > 1:
		return 2, pattern[1] == c
	}
	return 1, pattern[0] == '_' || pattern[0] == c
}
