package comment

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

func TestParse(t *testing.T) {
	for text, want := range map[string]Comment{
		"SELECT 1 /* id=9b,c=basket,d=480,cluster=2,after=1767225600123 */": {ID: "9b", Class: "basket",
			Patience: 480 * time.Millisecond, Group: 2, After: 1767225600123 * time.Millisecond},
		"INSERT /* x */ /* id=9b,c=order,d=1.5,k=5c,r=1,cluster=0 */ ; ": {ID: "9b", Class: "order", Key: "5c",
			Patience: 1500 * time.Microsecond},
		"SELECT 1 /*id=1*/": {ID: "1", Group: -1},
	} {
		got, err := Parse(text)
		if d := cmp.Diff(want, got, cmpopts.IgnoreUnexported(Comment{})); d != "" || err != nil {
			t.Errorf("%s: %v %s", text, err, d)
		}
	}
}

func TestParseBad(t *testing.T) {
	for _, text := range []string{"", "SELECT 1", "SELECT 1 /* hint */", "/*/", "x /* id= */", "x /* id=1,d */",
		"x /* id=1,d=-1 */", "x /* id=1,d=NaN */", "x /* id=1,d=1e99 */", "x /* id=1,d=0 */", "x /* id=1,cluster=-1 */",
		"x /* id=1,cluster=99999 */", "x /* id=1,cluster=+1 */", "x /* id=1,d=0x10 */", "x /* id=1,d=1e3 */", "x /* id=1,d=+5 */", "x /* id=1,k= */", "x /* id=1,after=x */", "x /* id=1,id=2 */", "x /* id=1 */ y"} {
		if c, err := Parse(text); err == nil {
			t.Errorf("%q passes as %+v", text, c)
		}
	}
}

func TestWithPatience(t *testing.T) {
	for text, want := range map[string]string{
		"S /* id=1,c=a,d=480,k=2 */": "S /* id=1,c=a,d=33,k=2 */",
		"S /* id=1, d=480 */;":       "S /* id=1, d=33 */;",
		"S /* id=1,c=a */":           "S /* id=1,c=a */",
	} {
		c, err := Parse(text)
		if got := c.WithPatience(text, 33*time.Millisecond); got != want || err != nil {
			t.Errorf("%s: %s, %v", text, got, err)
		}
	}
}

func TestEpoch(t *testing.T) {
	for text, want := range map[string]string{
		"S /* id=1,c=a */":   "S /* id=1,c=a,epoch=7 */",
		"S /* id=1, c=a*/ ;": "S /* id=1, c=a,epoch=7 */ ;",
	} {
		got := WithEpoch(text, 7)
		if c, err := Parse(got); got != want || err != nil || c.Class != "a" || Epoch(got) != 7 || Epoch(text) != 0 || WithEpoch(text, 0) != text {
			t.Errorf("%s: %s, %v", text, got, err)
		}
	}
}

func TestQuotedKey(t *testing.T) {
	a, b := QuotedKey("x WHERE uid = '7f' /* */"), QuotedKey("INSERT ('7f', 'y')")
	if a != "7f" || a != b || QuotedKey("no key") != "" || QuotedKey("open '") != "" {
		t.Errorf("keys %q and %q", a, b)
	}
}

func FuzzParse(f *testing.F) {
	f.Add("SELECT 1 /* id=9b,c=basket,d=480,cluster=2,after=1767225600123 */", int64(12))
	f.Fuzz(func(t *testing.T, text string, left int64) {
		QuotedKey(text)
		c, err := Parse(text)
		if err != nil {
			return
		}
		if n := Epoch(WithEpoch(text, 1<<63)); n != 1<<63 {
			t.Fatalf("%q names the epoch %d", WithEpoch(text, 1<<63), n)
		}
		again, err := Parse(c.WithPatience(text, time.Duration(left)%MaxPatience))
		if err != nil || again.ID != c.ID || again.Key != c.Key || again.Class != c.Class {
			t.Fatalf("%q becomes %+v, %v", text, again, err)
		}
		if strings.Contains(text, "d=") != strings.Contains(c.WithPatience(text, 5), "d=") {
			t.Fatal("d is lost")
		}
	})
}

// A comment with thousands of fields must be an error after the first few: it would keep everybody else waiting.
func TestManyFieldsAreAnError(t *testing.T) {
	for fields, valid := range map[int]bool{maxFields: true, maxFields + 1: false, 9000: false} {
		text := "SELECT 1 /* id=a"
		for i := range fields - 1 {
			text += fmt.Sprintf(",x%d=1", i)
		}
		if _, err := Parse(text + " */"); (err == nil) != valid {
			t.Errorf("%d fields: %v, valid: %v", fields, err, valid)
		}
	}
	text := "SELECT 1 /* id=a" + strings.Repeat(",x=1", 9000) + " */"
	if allocations := testing.AllocsPerRun(10, func() { _, _ = Parse(text) }); allocations > 10 {
		t.Errorf("%.0f allocations for a comment that is an error", allocations)
	}
}
