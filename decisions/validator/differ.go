package validator

import (
	"encoding/json"

	"filbertstile.example/filbertstile"
)

// Difference is an entity or mark that differs between two configurations.
type Difference struct {
	// Table is the name of the table, and Name the key of the row.
	Table string
	Name  string
	// Before and After are the row as JSON; empty if the row does not exist.
	Before json.RawMessage `json:",omitempty"`
	After  json.RawMessage `json:",omitempty"`
}

// Diff returns the differences between two configurations.
func Diff(before, after filbertstile.Config) []Difference {
	var out []Difference
	out = append(out, diffTable("Accounts", before.Accounts, after.Accounts)...)
	out = append(out, diffTable("Marks", before.Marks, after.Marks)...)
	out = append(out, diffTable("Releases", before.Releases, after.Releases)...)
	out = append(out, diffTable("Services", before.Services, after.Services)...)
	return append(out, diffTable("Tiers", before.Tiers, after.Tiers)...)
}

func diffTable[R filbertstile.Row](table string, before, after filbertstile.Table[R]) []Difference {
	var out []Difference
	for _, r := range before.All() {
		if _, ok := after.Get(r.Key()); !ok {
			out = append(out, Difference{Table: table, Name: r.Key(), Before: marshalRow(r)})
		}
	}
	for _, r := range after.All() {
		old, ok := before.Get(r.Key())
		d := Difference{Table: table, Name: r.Key(), After: marshalRow(r)}
		if ok {
			d.Before = marshalRow(old)
		}
		if string(d.Before) != string(d.After) {
			out = append(out, d)
		}
	}
	return out
}

func marshalRow(row any) json.RawMessage {
	data, err := json.Marshal(row)
	if err != nil {
		panic(err) // rows are plain structs and always encode
	}
	return data
}
