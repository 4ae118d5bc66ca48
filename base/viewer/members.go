package viewer

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"filbertstile.example/filbertstile"
)

// maxMemberDeltas is the maximum number of member deltas kept for subscribers that
// are behind.
const maxMemberDeltas = 256

// MemberDelta is the difference between two versions of the members. If From is 0,
// Upserts is the complete table.
type MemberDelta struct {
	From    uint64
	To      uint64
	Upserts []filbertstile.Member `json:",omitempty"`
	Removes []string              `json:",omitempty"`
}

// memberHash returns the hash of one member. The version of a table is the exclusive
// or of its members' hashes, so that it can be updated row by row.
func memberHash(m filbertstile.Member) uint64 {
	data, err := json.Marshal(m)
	if err != nil {
		panic(err) // a struct of strings and booleans always encodes
	}
	return xxhash.Sum64(data)
}

// memberDelta returns the delta between two tables, the first of which has the
// version from.
func memberDelta(from uint64, before, after filbertstile.Table[filbertstile.Member]) MemberDelta {
	d := MemberDelta{From: from, To: from}
	for _, m := range before.All() {
		if _, ok := after.Get(m.Name); !ok {
			d.Removes = append(d.Removes, m.Name)
			d.To ^= memberHash(m)
		}
	}
	for _, m := range after.All() {
		old, ok := before.Get(m.Name)
		if ok && old == m {
			continue
		}
		if ok {
			d.To ^= memberHash(old)
		}
		d.To ^= memberHash(m)
		d.Upserts = append(d.Upserts, m)
	}
	return d
}

// SetMembers replaces the members, if they differ.
func (h *Holder) SetMembers(t filbertstile.Table[filbertstile.Member]) {
	h.mu.Lock()
	defer h.mu.Unlock()
	d := memberDelta(h.view.MembersVersion, h.view.Members, t)
	if len(d.Upserts) == 0 && len(d.Removes) == 0 {
		return
	}
	h.view = h.view.WithMembers(t, d.To)
	h.deltas = append(h.deltas, d)
	if extra := len(h.deltas) - maxMemberDeltas; extra > 0 {
		h.deltas = h.deltas[extra:]
	}
	h.notifyChanged()
}

// MembersSince returns the encoded deltas from the version to the view's members,
// or the complete table if the deltas are no longer kept. It returns nil if the
// version is that of the view, or if the view has no members yet.
func (h *Holder) MembersSince(version uint64) ([]byte, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version == h.view.MembersVersion || h.view.MembersVersion == 0 {
		// A process that has just started knows no members and must not send an
		// empty table.
		return nil, nil
	}
	deltas := []MemberDelta{{To: h.view.MembersVersion, Upserts: h.view.Members.All()}}
	for i, d := range h.deltas {
		if d.From == version && version != 0 {
			deltas = h.deltas[i:]
		}
	}
	data, err := json.Marshal(deltas)
	if err != nil {
		return nil, fmt.Errorf("encode members: %w", err)
	}
	return data, nil
}

// ApplyMembers applies the deltas from MembersSince. Deltas that do not start at the
// view's version are ignored: the next update contains the complete table.
func (h *Holder) ApplyMembers(encoded []byte) error {
	var deltas []MemberDelta
	if err := json.Unmarshal(encoded, &deltas); err != nil {
		return fmt.Errorf("decode members: %w", err)
	}
	v := h.View()
	t, version := v.Members, v.MembersVersion
	for _, d := range deltas {
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
