package enginehttp

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"windflow/internal/router"
)

// columns are the names of a result's columns, which the pages of an engine do not contain.
var columns = []string{"c1", "c2", "c3"}

var tab, newline = []byte{'\t'}, []byte{'\n'}

// resultPages gathers the pages of a result.
type resultPages struct {
	pages  [][]byte // checked, in order
	count  int      // of all pages; 0 until the query has ended
	workMS float64  // processor time that the query took, as the engine reports it
	needMB float64  // memory that it used
}

// complete reports whether no page is missing.
func (r *resultPages) complete() bool { return len(r.pages) >= r.count }

// checkPage checks that a page contains complete rows of the columns and is not too long.
func checkPage(body []byte) error {
	switch {
	case len(body) > maxPage:
		return fmt.Errorf("page of %d bytes", len(body))
	case len(body) > 0 && body[len(body)-1] != '\n':
		return errors.New("page ends within a row")
	}
	for row := range bytes.Lines(body) {
		if n := bytes.Count(row, tab) + 1; n != len(columns) {
			return fmt.Errorf("row of %d columns", n)
		}
	}
	return nil
}

// parse splits the pages into cells.
func (r *resultPages) parse() (*router.Result, error) {
	size, rows := 0, 0
	for _, page := range r.pages {
		size += len(page)
		rows += bytes.Count(page, newline)
	}
	if size > router.MaxResultBytes {
		return nil, fmt.Errorf("result of %d bytes", size)
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
