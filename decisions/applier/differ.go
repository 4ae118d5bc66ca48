package applier

import (
	"encoding/json"

	"filbertstile.example/filbertstile"
)

// Difference is one entity that a change adds, changes or withdraws.
type Difference struct {
	Table string
	Name  string
	// Before and After are JSON documents; empty where there is none.
	Before json.RawMessage `json:",omitempty"`
	After  json.RawMessage `json:",omitempty"`
}

// Diff lists what differs between two configurations.
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
			out = append(out, Difference{Table: table, Name: r.Key(), Before: document(r)})
		}
	}
	for _, r := range after.All() {
		old, ok := before.Get(r.Key())
		d := Difference{Table: table, Name: r.Key(), After: document(r)}
		if ok {
			d.Before = document(old)
		}
		if string(d.Before) != string(d.After) {
			out = append(out, d)
		}
	}
	return out
}

func document(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // entities are plain structs and always encode
	}
	return data
}
