package crankfakenet

import (
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

func TestProxyPassesRequestsOn(t *testing.T) {
	is := is.New(t)
	behind, _ := listen(t)
	behind.SetHandler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Host+r.URL.Path)
	}))
	front, c := listen(t)
	front.SetHandler(NewProxy(behind.Addr()))
	req, err := http.NewRequest(http.MethodGet, "http://"+front.Addr()+"/a/b", nil)
	is.NoErr(err)
	req.Host = "hall.example"
	res, err := c.Do(req)
	is.NoErr(err)
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	is.NoErr(err)
	is.Equal(string(text), "hall.example/a/b")

	is.NoErr(behind.SetMode(ModeRefuse))
	_, err = c.Get("http://" + front.Addr())
	is.True(err != nil) // as if the process behind were called itself
}
