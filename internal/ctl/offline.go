package ctl

import (
	"os"

	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// checkAnswer is the JSON output of check.
type checkAnswer struct {
	File     string           `json:"file"`
	Valid    bool             `json:"valid"`
	Hash     string           `json:"hash,omitempty"`
	Problems []config.Problem `json:"problems"`
}

func (t *tool) check(c *checkCommand) error {
	raw, err := readFile(c.File)
	if err != nil {
		return err
	}
	doc, problems := config.Parse(c.File, raw)
	answer := checkAnswer{File: c.File, Valid: doc != nil, Problems: append([]config.Problem{}, problems...)}
	if doc != nil {
		canonical, err := config.Canonical(doc)
		if err != nil {
			return err
		}
		answer.Hash = config.Hash(canonical)
	}
	t.printProblems(problems)
	if doc == nil {
		if t.out.json {
			if err := t.out.writeJSON(answer); err != nil {
				return err
			}
			t.out.json = false // The output above has the problems; Run must not write a second JSON value.
		}
		return invalid(c.File, problems)
	}
	return t.out.line(answer, "%s: valid, %d warnings, hash %s", c.File, len(problems), answer.Hash)
}

func (t *tool) diff(c *diffCommand) error {
	before, err := t.load(c.Old)
	if err != nil {
		return err
	}
	after, err := t.load(c.New)
	if err != nil {
		return err
	}
	changes := append([]config.Change{}, config.Diff(before, after)...)
	if t.out.json {
		return t.out.writeJSON(changes)
	}
	for _, change := range changes {
		printLine(t.out.stdout, "%s", change)
	}
	return nil
}

// load reads a configuration file and returns an error if it is invalid. It prints
// each problem on a line of stderr.
func (t *tool) load(file string) (*config.Document, error) {
	raw, err := readFile(file)
	if err != nil {
		return nil, err
	}
	doc, problems := config.Parse(file, raw)
	t.printProblems(problems)
	if doc == nil {
		return nil, invalid(file, problems)
	}
	return doc, nil
}

func (t *tool) printProblems(problems []config.Problem) {
	for _, p := range problems {
		printLine(t.out.stderr, "%s", p)
	}
}

func invalid(file string, problems []config.Problem) error {
	errors := 0
	for _, p := range problems {
		if !p.Warning {
			errors++
		}
	}
	return result.New(result.ConfigInvalid, "%s has %d errors", file, errors)
}

func readFile(file string) ([]byte, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, result.New(result.NotFound, "%v", err)
	}
	return raw, nil
}
