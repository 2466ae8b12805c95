package sqlparse

import (
	"fmt"
	"strings"
)

type tokenKind int

const (
	tokenEnd tokenKind = iota
	tokenWord
	tokenString
	tokenNumber
	tokenParam
	tokenSymbol
)

// token is a lexical token; start and end are its byte offsets in the source.
type token struct {
	kind  tokenKind
	text  string
	start int
	end   int
}

// Error is a syntax error.
type Error struct {
	Message string
}

// Error implements error.
func (e *Error) Error() string { return e.Message }

func syntaxError(format string, args ...any) error {
	return &Error{Message: "syntax error: " + fmt.Sprintf(format, args...)}
}

type lexer struct {
	src string
	pos int
}

func tokenize(src string) ([]token, error) {
	l := &lexer{src: src}
	var tokens []token
	for {
		tok, err := l.next()
		if err != nil {
			return nil, err
		}
		tokens = append(tokens, tok)
		if tok.kind == tokenEnd {
			return tokens, nil
		}
	}
}

func (l *lexer) next() (token, error) {
	l.skipBlank()
	if l.pos >= len(l.src) {
		return token{kind: tokenEnd, start: l.pos, end: l.pos}, nil
	}
	c := l.src[l.pos]
	switch {
	case c == '\'':
		return l.quoted('\'', tokenString)
	case c == '"':
		return l.quoted('"', tokenWord)
	case isLetter(c):
		tok := l.scanWhile(tokenWord, 0, isWordByte)
		tok.text = strings.ToLower(tok.text)
		return tok, nil
	case isDigit(c):
		return l.scanWhile(tokenNumber, 0, isNumberByte), nil
	case c == '$' && l.pos+1 < len(l.src) && isDigit(l.src[l.pos+1]):
		return l.scanWhile(tokenParam, 1, isDigit), nil
	case strings.HasPrefix(l.src[l.pos:], "::"):
		return l.symbol(2), nil
	}
	return l.symbol(1), nil
}

// skipBlank skips white space and -- comments.
func (l *lexer) skipBlank() {
	for l.pos < len(l.src) {
		switch {
		case strings.IndexByte(" \t\r\n\f\v", l.src[l.pos]) >= 0:
			l.pos++
		case strings.HasPrefix(l.src[l.pos:], "--"):
			end := strings.IndexByte(l.src[l.pos:], '\n')
			if end < 0 {
				l.pos = len(l.src)
				return
			}
			l.pos += end
		default:
			return
		}
	}
}

// scanWhile reads a token that consists of skip bytes, which are left out of its
// text, and of the bytes after them for which matches returns true.
func (l *lexer) scanWhile(kind tokenKind, skip int, matches func(byte) bool) token {
	start := l.pos
	l.pos += skip
	for l.pos < len(l.src) && matches(l.src[l.pos]) {
		l.pos++
	}
	return token{kind: kind, text: l.src[start+skip : l.pos], start: start, end: l.pos}
}

func (l *lexer) symbol(length int) token {
	start := l.pos
	l.pos += length
	return token{kind: tokenSymbol, text: l.src[start:l.pos], start: start, end: l.pos}
}

// quoted reads a quoted token; a doubled quote is an escaped quote.
func (l *lexer) quoted(quote byte, kind tokenKind) (token, error) {
	start := l.pos
	var text strings.Builder
	for l.pos++; l.pos < len(l.src); l.pos++ {
		c := l.src[l.pos]
		if c != quote {
			text.WriteByte(c)
			continue
		}
		if l.pos+1 < len(l.src) && l.src[l.pos+1] == quote {
			text.WriteByte(quote)
			l.pos++
			continue
		}
		l.pos++
		return token{kind: kind, text: text.String(), start: start, end: l.pos}, nil
	}
	return token{}, syntaxError("unterminated quote %c", quote)
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isLetter(c byte) bool {
	return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}

func isWordByte(c byte) bool { return isLetter(c) || isDigit(c) || c == '$' }

func isNumberByte(c byte) bool { return isDigit(c) || c == '.' }
