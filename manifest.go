package filbertstile

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// Digest is a SHA-256 digest in hexadecimal.
type Digest string

// DigestOf returns the digest of the data.
func DigestOf(data []byte) Digest {
	sum := sha256.Sum256(data)
	return Digest(hex.EncodeToString(sum[:]))
}

// ChunkRef identifies a chunk of a release by the digest of its content.
type ChunkRef struct {
	Digest Digest
	// Size is the size of the chunk in bytes.
	Size int
}

// Manifest lists the chunks of a release in order.
type Manifest struct {
	Name string
	// Whole is the digest of all chunks, concatenated in order.
	Whole Digest
	// Size is the total size of the chunks in bytes.
	Size   int64
	Chunks []ChunkRef
}

// Encode returns the manifest document, whose digest identifies the manifest.
func (m Manifest) Encode() []byte {
	data, err := json.Marshal(m)
	if err != nil {
		panic(err) // a struct of strings and integers always encodes
	}
	return data
}

// ParseManifest verifies the digest of a manifest document and decodes it.
func ParseManifest(want Digest, data []byte) (Manifest, error) {
	if got := DigestOf(data); got != want {
		return Manifest{}, ErrDigest{Step: "parse manifest", Want: want, Got: got}
	}
	var m Manifest
	if err := json.Unmarshal(data, &m); err != nil {
		return Manifest{}, fmt.Errorf("parse manifest %s: %w", want, err)
	}
	return m, nil
}
