package crankevidence

import (
	"go/parser"
	"go/token"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// The package must stay free of clocks, logs and calls.
func TestPackageIsPure(t *testing.T) {
	is := is.New(t)
	files, err := os.ReadDir(".")
	is.NoErr(err)
	for _, f := range files {
		if !strings.HasSuffix(f.Name(), ".go") || strings.HasSuffix(f.Name(), "_test.go") {
			continue
		}
		text, err := os.ReadFile(f.Name())
		is.NoErr(err)
		parsed, err := parser.ParseFile(token.NewFileSet(), f.Name(), text, parser.ImportsOnly)
		is.NoErr(err)
		for _, i := range parsed.Imports {
			path, err := strconv.Unquote(i.Path.Value)
			is.NoErr(err)
			is.True(path == "time" || path == "cranberrycrank") // no other import
		}
		is.True(!strings.Contains(string(text), "time.Now") && !strings.Contains(string(text), "time.Since")) // no clock
	}
}
