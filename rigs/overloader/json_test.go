package overloader

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// jsonClients is the number of clients that send whole bodies, which the entry parses.
const jsonClients = 20

// applyNotes gives the entry the accounts and services of the example, as an operator.
func applyNotes(t *testing.T, admin string) {
	t.Helper()
	is := is.New(t)
	notes, err := os.ReadFile(filepath.Join("..", "..", "examples", "separate", "notes.jsonc"))
	is.NoErr(err)
	for end := time.Now().Add(answerPatience); ; time.Sleep(50 * time.Millisecond) {
		r, err := http.NewRequest(http.MethodPost, "http://"+admin+"/admin/v1/changes", strings.NewReader(`{"Notes": `+string(notes)+`}`))
		is.NoErr(err)
		r.Header.Set("Authorization", "Bearer operator-token")
		resp, err := http.DefaultClient.Do(r)
		is.NoErr(err)
		data, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
		if time.Now().After(end) {
			t.Fatal(string(data))
		}
	}
}

// TestOwnEntryOutlivesLargeJSON guards against complete bodies of legal size, with many small elements or
// short names, that take many times their size as the entry parses them.
func TestOwnEntryOutlivesLargeJSON(t *testing.T) {
	var names strings.Builder
	names.WriteString(`{"model": "none", "messages": [0]`)
	for n := 0; names.Len() < bodyBytes-20; n++ {
		fmt.Fprintf(&names, `,"%x":0`, n)
	}
	names.WriteString("}")
	for name, body := range map[string]string{
		"Elements": `{"model": "none", "messages": [0` + strings.Repeat(",0", bodyBytes/2-20) + `]}`,
		"Names":    names.String(),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, callers, admin := startOwnEntry(t)
			applyNotes(t, admin)
			request := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer clerk-token\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			ctx, cancel := context.WithTimeout(t.Context(), 3*crowdTime)
			defer cancel()
			crowd(ctx, jsonClients, callers, "", "", kind{send: func(c io.Writer, _, _ string) error {
				_, err := io.WriteString(c, request)
				return err
			}})
			answered := answers(t, "http://"+callers+"/v1/entries")
			t.Logf("peak %d of %d MiB", p.peakMiB(), entryMemoryMB)
			is.True(p.lives())
			is.True(p.peakMiB() < entryMemoryMB)
			is.True(answered)
		})
	}
}
