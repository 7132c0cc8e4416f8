package enginehttp

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"windflow/internal/router"
)

// columns are the names given to the columns, which an engine's pages don't name.
var columns = []string{"c1", "c2", "c3"}

var tab, newline = []byte{'\t'}, []byte{'\n'}

// number reads a figure of an engine; one that makes no sense counts as untold.
func number(s string) float64 {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || !(v >= 0 && v < 1e9) {
		return 0
	}
	return v
}

// checkPage checks that a page holds whole rows of three columns and is no longer than pages are.
func checkPage(body []byte) error {
	switch {
	case len(body) > maxPage:
		return fmt.Errorf("a page of %d bytes", len(body))
	case len(body) > 0 && body[len(body)-1] != '\n':
		return errors.New("a page that ends within a row")
	}
	for row := range bytes.Lines(body) {
		if n := bytes.Count(row, tab) + 1; n != len(columns) {
			return fmt.Errorf("a row of %d columns", n)
		}
	}
	return nil
}

// parseRows cuts pages that were checked into cells.
func parseRows(pages [][]byte) (*router.Result, error) {
	size, rows := 0, 0
	for _, p := range pages {
		size += len(p)
		rows += bytes.Count(p, newline)
	}
	if size > router.MaxResultBytes {
		return nil, fmt.Errorf("a result of %d bytes", size)
	}
	r := &router.Result{Columns: columns, Cells: make([]router.Cell, 0, rows*len(columns))}
	for _, p := range pages {
		for row := range strings.Lines(string(p)) {
			for cell := range strings.SplitSeq(row[:len(row)-1], "\t") {
				r.Cells = append(r.Cells, router.Cell{Text: cell})
			}
		}
	}
	return r, nil
}

func clip(b []byte) string { return string(b[:min(len(b), 80)]) }
