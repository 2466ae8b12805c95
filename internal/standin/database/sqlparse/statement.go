// Package sqlparse reads the subset of SQL that the database stand-in speaks.
package sqlparse

// Kind tells what a statement does.
type Kind int

// The statements of the subset.
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

// OnConflict tells what an insert does when the key exists.
type OnConflict int

// The choices of an insert.
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

// Statement is one parsed statement. Fields that its kind does not use are zero.
type Statement struct {
	Kind       Kind
	Table      string
	Key        Operand // also the pattern of LIKE, the seconds of pg_sleep and the echoed value
	Value      Operand
	OnConflict OnConflict
	Name       string // of the variable of Set, Show and Reset
	Text       string // the value of Set; the whole text of Control
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
