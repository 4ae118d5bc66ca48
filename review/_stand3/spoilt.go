package main

import (
	"bytes"
	"time"
)

func init() { cases["spoilt"] = spoiltCase }

// spoiltTime is how long the origin's file is spoilt.
const spoiltTime = 2 * time.Second

// spoiltCase names version 2 of the weights while one bit of the file of its manifest is wrong at the
// origin.
func spoiltCase(k *kit) {
	m := startModels(k, "127.66")
	defer m.close()
	m.ask(2 * time.Second)
	if k.trouble {
		m.origin.setSpoil(func(file []byte) []byte { return bytes.Replace(file, []byte(`"digests"`), []byte(`"difests"`), 1) })
		k.logf("one bit of the file of the manifest at the origin is wrong")
		time.AfterFunc(spoiltTime, func() {
			m.origin.setSpoil(nil)
			k.logf("the file of the manifest at the origin is sound again")
		})
	}
	m.name(2)
	m.ask(20 * time.Second)
	m.engine.mu.Lock()
	defer m.engine.mu.Unlock()
	k.logf("%d requests have run with pieces that were missing, spoilt or of another version", m.engine.wrongRuns)
	if m.engine.wrongRuns > 0 {
		k.breaks("%d requests ran with layers that were taken while their pieces were missing, spoilt or of another version", m.engine.wrongRuns)
	}
}
