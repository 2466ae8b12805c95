package sqlparse

func (p *parser) selectStatement() (*Statement, error) {
	tok := p.peek()
	switch {
	case tok.kind == tokenWord && tok.text == "pg_sleep":
		return p.sleep()
	case tok.kind == tokenWord && tok.text == "count":
		return p.count()
	case tok.kind == tokenWord && tok.text == "k":
		return p.rows()
	case tok.kind == tokenWord && tok.text == "v":
		return p.value()
	case tok.kind == tokenNumber && tok.text == "1":
		p.advance()
		return &Statement{Kind: SelectOne}, nil
	}
	op, err := p.castOperand()
	return &Statement{Kind: SelectEcho, Key: op}, err
}

func (p *parser) sleep() (*Statement, error) {
	if err := p.expect("pg_sleep ("); err != nil {
		return nil, err
	}
	op, err := p.castOperand()
	if err != nil {
		return nil, err
	}
	return &Statement{Kind: SelectSleep, Key: op}, p.expect(")")
}

func (p *parser) count() (*Statement, error) {
	if err := p.expect("count ( * ) from"); err != nil {
		return nil, err
	}
	return p.like(SelectCount)
}

func (p *parser) rows() (*Statement, error) {
	if err := p.expect("k , v from"); err != nil {
		return nil, err
	}
	return p.like(SelectRows)
}

func (p *parser) like(kind Kind) (*Statement, error) {
	return p.condition(kind, "where k like")
}

func (p *parser) value() (*Statement, error) {
	if err := p.expect("v from"); err != nil {
		return nil, err
	}
	return p.condition(SelectValue, "where k =")
}

// condition parses a table name, the given words and an operand.
func (p *parser) condition(kind Kind, words string) (*Statement, error) {
	table, err := p.table()
	if err != nil {
		return nil, err
	}
	if err := p.expect(words); err != nil {
		return nil, err
	}
	op, err := p.castOperand()
	return &Statement{Kind: kind, Table: table, Key: op}, err
}

func (p *parser) insert() (*Statement, error) {
	if err := p.expect("into"); err != nil {
		return nil, err
	}
	table, err := p.table()
	if err != nil {
		return nil, err
	}
	if err := p.expect("( k , v ) values ("); err != nil {
		return nil, err
	}
	stmt := &Statement{Kind: Insert, Table: table}
	if stmt.Key, err = p.castOperand(); err != nil {
		return nil, err
	}
	if err := p.expect(","); err != nil {
		return nil, err
	}
	if stmt.Value, err = p.castOperand(); err != nil {
		return nil, err
	}
	if err := p.expect(")"); err != nil {
		return nil, err
	}
	stmt.OnConflict, err = p.onConflict()
	return stmt, err
}

func (p *parser) onConflict() (OnConflict, error) {
	if !p.acceptWord("on") {
		return ConflictFails, nil
	}
	if err := p.expect("conflict"); err != nil {
		return ConflictFails, err
	}
	hasTarget := p.acceptSymbol("(")
	if hasTarget {
		if err := p.expect("k )"); err != nil {
			return ConflictFails, err
		}
	}
	if err := p.expect("do"); err != nil {
		return ConflictFails, err
	}
	if p.acceptWord("nothing") {
		return ConflictIgnored, nil
	}
	if !hasTarget {
		return ConflictFails, syntaxError("ON CONFLICT DO UPDATE requires (k)")
	}
	return ConflictUpdates, p.expect("update set v = excluded . v")
}

func (p *parser) update() (*Statement, error) {
	table, err := p.table()
	if err != nil {
		return nil, err
	}
	if err := p.expect("set v ="); err != nil {
		return nil, err
	}
	stmt := &Statement{Kind: Update, Table: table}
	if p.acceptWord("v") {
		stmt.Kind = Add
		if err := p.expect("+"); err != nil {
			return nil, err
		}
	}
	if stmt.Value, err = p.castOperand(); err != nil {
		return nil, err
	}
	if err := p.expect("where k ="); err != nil {
		return nil, err
	}
	stmt.Key, err = p.castOperand()
	return stmt, err
}

func (p *parser) delete() (*Statement, error) {
	if err := p.expect("from"); err != nil {
		return nil, err
	}
	return p.condition(Delete, "where k =")
}

func (p *parser) set() (*Statement, error) {
	p.acceptWord("session")
	name, err := p.dottedName("a variable name")
	if err != nil {
		return nil, err
	}
	if !p.acceptSymbol("=") {
		if err := p.expect("to"); err != nil {
			return nil, err
		}
	}
	tok := p.peek()
	if tok.kind == tokenWord {
		p.advance()
		return &Statement{Kind: Set, Name: name, Text: tok.text}, nil
	}
	op, err := p.operand()
	if op.Param != 0 {
		return nil, syntaxError("SET takes no parameters")
	}
	return &Statement{Kind: Set, Name: name, Text: op.Literal}, err
}

func (p *parser) variable(kind Kind) (*Statement, error) {
	name, err := p.dottedName("a variable name")
	return &Statement{Kind: kind, Name: name}, err
}
