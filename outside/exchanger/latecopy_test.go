package exchanger_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile/outside/exchanger"
)

// TestConnectionCarriesAnIDOnce guards against a late copy of a response that is taken for that
// to a later request with the same ID. Requests with other IDs share the connections.
func TestConnectionCarriesAnIDOnce(t *testing.T) {
	for _, c := range []struct {
		ids   []string
		conns int
	}{
		{ids: []string{"1", "1"}, conns: 2},
		{ids: []string{"1", "2", "1"}, conns: 2},
		{ids: []string{"1", "2", "1", "2", "3", "4", "5"}, conns: 2},
		{ids: []string{"1", "1", "1"}, conns: 3},
		{ids: []string{"", ""}, conns: 2},
	} {
		t.Run(fmt.Sprint(c.ids), func(t *testing.T) {
			withServer(t, slices.Repeat([]string{okResponse}, len(c.ids)), func(is *is.I, client *exchanger.Client, address string, s *server) {
				for _, id := range c.ids {
					got, err := do(client, address, id)
					is.NoErr(err)
					is.Equal(got, "ok")
				}
				is.Equal(s.conns, c.conns)
			})
		})
	}
}

// TestConnectionIsClosedAfterManyRequests guards against memory for IDs that grows as long as
// a connection is used.
func TestConnectionIsClosedAfterManyRequests(t *testing.T) {
	const requests = 1025
	withServer(t, slices.Repeat([]string{okResponse}, requests), func(is *is.I, client *exchanger.Client, address string, s *server) {
		for i := range requests {
			_, err := do(client, address, fmt.Sprint(i))
			is.NoErr(err)
		}
		is.Equal(s.conns, 3) // 512 on each of the first two
	})
}

// TestRequestWithoutIDGetsNewConnection guards against a late response without an ID that is
// taken for that to a request without one. Later requests with IDs use its connection.
func TestRequestWithoutIDGetsNewConnection(t *testing.T) {
	withServer(t, slices.Repeat([]string{okResponse}, 4), func(is *is.I, client *exchanger.Client, address string, s *server) {
		for i, id := range []string{"1", "", "2", ""} {
			_, err := do(client, address, id)
			is.NoErr(err)
			is.Equal(s.conns, []int{1, 2, 2, 3}[i])
		}
	})
}
