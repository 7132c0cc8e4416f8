package enginehttp

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"windflow/internal/router"
)

// columns are the column names of every result; the pages of an engine do not contain them.
var columns = []string{"c1", "c2", "c3"}

var tab, newline = []byte{'\t'}, []byte{'\n'}

// resultPages collects the pages of a result.
type resultPages struct {
	pages  [][]byte // the pages received so far, in order and checked
	count  int      // number of pages of the result; 0 until the query has ended
	workMS float64  // processor time of the query as reported by the engine, in milliseconds
	needMB float64  // memory used by the query as reported by the engine, in MB
}

// complete reports whether all pages were received.
func (r *resultPages) complete() bool { return len(r.pages) >= r.count }

// checkPage returns an error if a page is longer than maxPage, ends within a row or has a row with a wrong number of
// columns.
func checkPage(body []byte) error {
	switch {
	case len(body) > maxPage:
		return fmt.Errorf("page has %d bytes, at most %d are allowed", len(body), maxPage)
	case len(body) > 0 && body[len(body)-1] != '\n':
		return errors.New("page ends within a row: last byte is not a line feed")
	}
	for row := range bytes.Lines(body) {
		if n := bytes.Count(row, tab) + 1; n != len(columns) {
			return fmt.Errorf("row has %d columns, expected %d", n, len(columns))
		}
	}
	return nil
}

// parse splits the pages into cells and returns the result. It fails if the pages together have more than
// router.MaxResultBytes.
func (r *resultPages) parse() (*router.Result, error) {
	size, rows := 0, 0
	for _, page := range r.pages {
		size += len(page)
		rows += bytes.Count(page, newline)
	}
	if size > router.MaxResultBytes {
		return nil, fmt.Errorf("result has %d bytes, at most %d are allowed", size, router.MaxResultBytes)
	}
	result := &router.Result{
		Columns: columns, Cells: make([]router.Cell, 0, rows*len(columns)), WorkMS: r.workMS, NeedMB: r.needMB,
	}
	for _, page := range r.pages {
		for row := range strings.Lines(string(page)) {
			for cell := range strings.SplitSeq(row[:len(row)-1], "\t") {
				result.Cells = append(result.Cells, router.Cell{Text: cell})
			}
		}
	}
	return result, nil
}
