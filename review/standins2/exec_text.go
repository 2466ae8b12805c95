package main

import "fmt"

func init() { cases["exec-text"] = execText }

// execText writes data that ends with a blank, once as a plain write and once with a prepared statement, and reads both
// back. Without the disruption the data ends with a letter.
func execText(b *bed) (bool, error) {
	if err := b.start(); err != nil {
		return false, err
	}
	data := "north quay"
	if b.trouble {
		data += " "
	}
	changed := 0
	for i, g := range b.gateways {
		c, err := dial(b.group, g.caller, hostOf("primary"))
		if err != nil {
			return false, err
		}
		plain, prepared := fmt.Sprintf("p%d", i), fmt.Sprintf("e%d", i)
		for _, text := range []string{
			"WRITE " + plain + " " + data, "PREPARE s1 WRITE q2c", "EXEC s1 " + prepared + " " + data,
		} {
			a, err := c.queryUntilServed(text)
			if err != nil {
				return false, fmt.Errorf("%w: %q: %+v %w", errCase, text, a, err)
			}
			b.record.logf("%s: sent %q, answered %s %s", g.name, text, a.result, a.digest)
		}
		for _, key := range []string{plain, prepared} {
			a, err := c.queryUntilServed("READ " + key)
			if err != nil || len(a.rows) != 1 {
				return false, fmt.Errorf("%w: %+v %w", errCase, a, err)
			}
			b.record.logf("%s: %s holds %q, written was %q", g.name, key, a.rows[0], data)
			if a.rows[0] != data {
				changed++
			}
		}
		c.conn.Close()
	}
	b.group.mu.Lock()
	defer b.group.mu.Unlock()
	b.record.logf("seen: %d statements ran with changed text, %d values were stored changed", b.group.changedTexts, changed)
	return b.group.changedTexts > 0, nil
}
