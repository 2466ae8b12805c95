// Package sqlparse reads the subset of SQL that the stand-in database supports.
package sqlparse

// Kind is the kind of a statement.
type Kind int

// Kinds of statements.
const (
	Empty Kind = iota
	SelectValue
	SelectRows
	SelectCount
	SelectOne
	SelectEcho
	SelectSleep
	Insert
	Update
	Add
	Delete
	Begin
	Commit
	Rollback
	Set
	Show
	Reset
	DiscardAll
	Control
)

// OnConflict is the behaviour of an insert when the key exists.
type OnConflict int

// Behaviours of an insert on conflict.
const (
	ConflictFails OnConflict = iota
	ConflictUpdates
	ConflictIgnored
)

// Operand is a literal or, if Param is not 0, the parameter $Param.
type Operand struct {
	Param   int
	Literal string
}

// Statement is a parsed statement. Fields that its kind does not use are zero.
type Statement struct {
	Kind       Kind
	Table      string
	Key        Operand // key, LIKE pattern, seconds of pg_sleep or echoed value
	Value      Operand
	OnConflict OnConflict
	Name       string // variable of Set, Show and Reset
	Text       string // value of Set, or whole text of Control
	Params     int    // highest parameter number
}

// Reads reports whether the statement reads data.
func (s *Statement) Reads() bool {
	return s.Kind >= SelectValue && s.Kind <= SelectSleep
}

// Writes reports whether the statement changes data.
func (s *Statement) Writes() bool {
	return s.Kind >= Insert && s.Kind <= Delete
}

// EndsTransaction reports whether the statement commits or rolls back.
func (s *Statement) EndsTransaction() bool {
	return s.Kind == Commit || s.Kind == Rollback
}
