package viewer

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"filbertstile.example/filbertstile"
)

// recentDeltas bounds the member changes kept for subscribers that are behind.
const recentDeltas = 256

// MemberDelta turns one version of the members into another. From 0 means that
// Upserts is the whole table.
type MemberDelta struct {
	From    uint64
	To      uint64
	Upserts []filbertstile.Member `json:",omitempty"`
	Removes []string              `json:",omitempty"`
}

// rowVersion is the digest of one member. Versions of tables are the exclusive
// or of their rows', so that they can be kept up row by row.
func rowVersion(m filbertstile.Member) uint64 {
	data, err := json.Marshal(m)
	if err != nil {
		panic(err) // a struct of strings and booleans always encodes
	}
	return xxhash.Sum64(data)
}

// compare returns the step from one table to another.
func compare(from uint64, before, after filbertstile.Table[filbertstile.Member]) MemberDelta {
	d := MemberDelta{From: from, To: from}
	for _, m := range before.All() {
		if _, ok := after.Get(m.Name); !ok {
			d.Removes = append(d.Removes, m.Name)
			d.To ^= rowVersion(m)
		}
	}
	for _, m := range after.All() {
		old, ok := before.Get(m.Name)
		if ok && old == m {
			continue
		}
		if ok {
			d.To ^= rowVersion(old)
		}
		d.To ^= rowVersion(m)
		d.Upserts = append(d.Upserts, m)
	}
	return d
}

// SetMembers replaces the members, if they differ.
func (h *Holder) SetMembers(t filbertstile.Table[filbertstile.Member]) {
	h.mu.Lock()
	defer h.mu.Unlock()
	d := compare(h.view.MembersVersion, h.view.Members, t)
	if len(d.Upserts) == 0 && len(d.Removes) == 0 {
		return
	}
	h.view = h.view.WithMembers(t, d.To)
	h.deltas = append(h.deltas, d)
	if extra := len(h.deltas) - recentDeltas; extra > 0 {
		h.deltas = h.deltas[extra:]
	}
	h.wake()
}

// MembersSince returns the encoded steps from the version to the view's
// members, or the whole table where they are not kept. It returns nothing if
// the version is the view's own.
func (h *Holder) MembersSince(version uint64) ([]byte, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version == h.view.MembersVersion || h.view.MembersVersion == 0 {
		// A process that knows no members yet has nothing to tell.
		return nil, nil
	}
	steps := []MemberDelta{{To: h.view.MembersVersion, Upserts: h.view.Members.All()}}
	for i, d := range h.deltas {
		if d.From == version && version != 0 {
			steps = h.deltas[i:]
		}
	}
	data, err := json.Marshal(steps)
	if err != nil {
		return nil, fmt.Errorf("encode members: %w", err)
	}
	return data, nil
}

// ApplyMembers takes in steps from MembersSince. Steps that do not start at
// the view's members are passed over: the next update brings the whole table.
func (h *Holder) ApplyMembers(encoded []byte) error {
	var steps []MemberDelta
	if err := json.Unmarshal(encoded, &steps); err != nil {
		return fmt.Errorf("decode members: %w", err)
	}
	v := h.View()
	t, version := v.Members, v.MembersVersion
	for _, d := range steps {
		if d.From == 0 {
			t = filbertstile.NewTable(d.Upserts...)
			version = d.To
			continue
		}
		if d.From != version {
			return nil
		}
		for _, name := range d.Removes {
			t = t.Without(name)
		}
		for _, m := range d.Upserts {
			t = t.With(m)
		}
		version = d.To
	}
	h.SetMembers(t)
	return nil
}
