package enginehttp

import (
	"slices"
	"strings"
	"testing"

	"windflow/internal/router"
)

// TestCheckPage checks that a page is accepted up to its maximum size and only with complete rows.
func TestCheckPage(t *testing.T) {
	longest := strings.Repeat("a\tb\tc\n", maxPage/6)
	for _, test := range []struct{ name, page, want string }{
		{"no rows", "", ""},
		{"two rows", "a\tb\tc\n\t\t\n", ""},
		{"longest page", longest, ""},
		{"page over the limit", longest + "\n", "page has 6001 bytes, at most 6000 are allowed"},
		{"unterminated row", "a\tb\tc\nd\te\tf", "page ends within a row: last byte is not a line feed"},
		{"too few columns", "a\tb\tc\nd\te\n", "row has 2 columns, expected 3"},
		{"too many columns", "a\tb\tc\td\n", "row has 4 columns, expected 3"},
	} {
		text := ""
		if err := checkPage([]byte(test.page)); err != nil {
			text = err.Error()
		}
		if text != test.want {
			t.Errorf("%s: error %q, want %q", test.name, text, test.want)
		}
	}
}

// TestParsePages checks that the pages are joined into one result, and that the size limit of a result also applies
// when each page is within the limit of a page.
func TestParsePages(t *testing.T) {
	pages := resultPages{pages: [][]byte{[]byte("a\tb\tc\n"), nil, []byte("d\t\tf\n")}, workMS: 5, needMB: 6}
	result, err := pages.parse()
	if err != nil {
		t.Fatal(err)
	}
	var cells []string
	for _, cell := range result.Cells {
		cells = append(cells, cell.Text)
	}
	if !slices.Equal(cells, []string{"a", "b", "c", "d", "", "f"}) || result.WorkMS != 5 || result.NeedMB != 6 {
		t.Errorf("result %+v, want the cells a b c d \"\" f, WorkMS 5 and NeedMB 6", result)
	}
	page := []byte(strings.Repeat("a\tb\tc\n", maxPage/6))
	full := resultPages{pages: slices.Repeat([][]byte{page}, router.MaxResultBytes/len(page))}
	if result, err := full.parse(); err != nil || len(result.Cells) != router.MaxResultBytes/2 {
		t.Errorf("result of maximum size: error %v, want none and %d cells", err, router.MaxResultBytes/2)
	}
	full.pages = append(full.pages, []byte("a\tb\tc\n"))
	if _, err := full.parse(); err == nil || err.Error() != "result has 48006 bytes, at most 48000 are allowed" {
		t.Errorf("result over the maximum size: error %v, want one that states both sizes", err)
	}
}
