package enginehttp

import (
	"slices"
	"strings"
	"testing"

	"windflow/internal/router"
)

// A page is accepted up to its largest size, and only with complete rows.
func TestCheckPage(t *testing.T) {
	longest := strings.Repeat("a\tb\tc\n", maxPage/6)
	for _, test := range []struct{ name, page, want string }{
		{"no row", "", ""},
		{"two rows", "a\tb\tc\n\t\t\n", ""},
		{"longest page", longest, ""},
		{"overlong page", longest + "\n", "page of 6001 bytes"},
		{"row without end", "a\tb\tc\nd\te\tf", "page ends within a row"},
		{"column too few", "a\tb\tc\nd\te\n", "row of 2 columns"},
		{"column too many", "a\tb\tc\td\n", "row of 4 columns"},
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

// The pages together are one result, which is bounded also where each page is within its own bound.
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
		t.Errorf("%+v", result)
	}
	page := []byte(strings.Repeat("a\tb\tc\n", maxPage/6))
	full := resultPages{pages: slices.Repeat([][]byte{page}, router.MaxResultBytes/len(page))}
	if result, err := full.parse(); err != nil || len(result.Cells) != router.MaxResultBytes/2 {
		t.Errorf("the largest result: error %v", err)
	}
	full.pages = append(full.pages, []byte("a\tb\tc\n"))
	if _, err := full.parse(); err == nil || err.Error() != "result of 48006 bytes" {
		t.Errorf("a larger result: error %v", err)
	}
}
