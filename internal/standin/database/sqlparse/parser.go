package sqlparse

import (
	"strconv"
	"strings"
)

// maxParams is the limit of the protocol, which sends the number of parameters in
// 16 bits.
const maxParams = 65535

type parser struct {
	src    string
	tokens []token
	pos    int
	params int
}

// Parse parses the statements of src, separated by semicolons. Empty statements
// are omitted; the result may be empty.
func Parse(src string) ([]*Statement, error) {
	tokens, err := tokenize(src)
	if err != nil {
		return nil, err
	}
	p := &parser{src: src, tokens: tokens}
	var out []*Statement
	for {
		for p.acceptSymbol(";") {
		}
		if p.peek().kind == tokenEnd {
			return out, nil
		}
		stmt, err := p.statement()
		if err != nil {
			return nil, err
		}
		out = append(out, stmt)
	}
}

func (p *parser) peek() token { return p.tokens[p.pos] }

func (p *parser) advance() token {
	tok := p.tokens[p.pos]
	if tok.kind != tokenEnd {
		p.pos++
	}
	return tok
}

func (p *parser) atEnd() bool {
	tok := p.peek()
	return tok.kind == tokenEnd || tok.kind == tokenSymbol && tok.text == ";"
}

func (p *parser) accept(kind tokenKind, text string) bool {
	if tok := p.peek(); tok.kind != kind || tok.text != text {
		return false
	}
	p.advance()
	return true
}

func (p *parser) acceptSymbol(text string) bool { return p.accept(tokenSymbol, text) }

func (p *parser) acceptWord(text string) bool { return p.accept(tokenWord, text) }

// expect consumes the words and symbols in sequence, which are separated by blanks,
// or returns an error.
func (p *parser) expect(sequence string) error {
	for _, want := range strings.Fields(sequence) {
		tok := p.advance()
		if tok.kind != tokenWord && tok.kind != tokenSymbol || tok.text != want {
			return p.unexpected(tok, strconv.Quote(want))
		}
	}
	return nil
}

func (p *parser) unexpected(tok token, want string) error {
	if tok.kind == tokenEnd {
		return syntaxError("expected %s at end of input", want)
	}
	return syntaxError("expected %s at or near %q", want, p.src[tok.start:tok.end])
}

func (p *parser) statement() (*Statement, error) {
	p.params = 0
	first := p.peek()
	stmt, err := p.statementBody()
	if err != nil {
		return nil, err
	}
	if !p.atEnd() {
		return nil, p.unexpected(p.peek(), "end of statement")
	}
	stmt.Params = p.params
	if stmt.Kind == Control {
		stmt.Text = strings.TrimSpace(p.src[first.start:p.peek().start])
	}
	return stmt, nil
}

func (p *parser) statementBody() (*Statement, error) {
	tok := p.advance()
	if tok.kind != tokenWord {
		return nil, p.unexpected(tok, "a statement")
	}
	switch tok.text {
	case "select":
		return p.selectStatement()
	case "insert":
		return p.insert()
	case "update":
		return p.update()
	case "delete":
		return p.delete()
	case "begin":
		return p.transaction(Begin)
	case "start":
		if err := p.expect("transaction"); err != nil {
			return nil, err
		}
		return p.transaction(Begin)
	case "commit", "end":
		return p.transaction(Commit)
	case "rollback", "abort":
		return p.transaction(Rollback)
	case "set":
		return p.set()
	case "show":
		return p.variable(Show)
	case "reset":
		return p.variable(Reset)
	case "discard":
		return &Statement{Kind: DiscardAll}, p.expect("all")
	case "bts":
		p.skipStatement()
		return &Statement{Kind: Control}, nil
	}
	return nil, p.unexpected(tok, "a known statement")
}

func (p *parser) skipStatement() {
	for !p.atEnd() {
		p.advance()
	}
}

// transaction parses the rest of BEGIN, COMMIT or ROLLBACK. Transaction modes are
// ignored, since there is only one isolation level.
func (p *parser) transaction(kind Kind) (*Statement, error) {
	if kind != Begin {
		if !p.acceptWord("transaction") {
			p.acceptWord("work")
		}
		return &Statement{Kind: kind}, nil
	}
	for !p.atEnd() {
		if tok := p.advance(); tok.kind != tokenWord && tok.text != "," {
			return nil, p.unexpected(tok, "a transaction mode")
		}
	}
	return &Statement{Kind: kind}, nil
}

func (p *parser) operand() (Operand, error) {
	tok := p.advance()
	switch {
	case tok.kind == tokenString || tok.kind == tokenNumber:
		return Operand{Literal: tok.text}, nil
	case tok.kind == tokenParam:
		return p.param(tok)
	case tok.kind == tokenSymbol && tok.text == "-" && p.peek().kind == tokenNumber:
		return Operand{Literal: "-" + p.advance().text}, nil
	}
	return Operand{}, p.unexpected(tok, "a value")
}

func (p *parser) param(tok token) (Operand, error) {
	n, err := strconv.Atoi(tok.text)
	if err != nil || n < 1 || n > maxParams {
		return Operand{}, syntaxError("there is no parameter $%s", tok.text)
	}
	p.params = max(p.params, n)
	return Operand{Param: n}, nil
}

// castOperand parses an operand and an optional ::type after it, which is ignored.
func (p *parser) castOperand() (Operand, error) {
	op, err := p.operand()
	if err != nil {
		return op, err
	}
	if p.acceptSymbol("::") {
		if tok := p.advance(); tok.kind != tokenWord {
			return op, p.unexpected(tok, "a type")
		}
	}
	return op, nil
}

// table parses a table name with an optional schema.
func (p *parser) table() (string, error) {
	return p.dottedName("a table name")
}

func (p *parser) dottedName(want string) (string, error) {
	var parts []string
	for {
		tok := p.advance()
		if tok.kind != tokenWord {
			return "", p.unexpected(tok, want)
		}
		parts = append(parts, tok.text)
		if !p.acceptSymbol(".") {
			return strings.Join(parts, "."), nil
		}
	}
}
