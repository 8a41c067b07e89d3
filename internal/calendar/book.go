package calendar

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Book is the operators' calendars, and the sites that close by them.
type Book struct {
	Calendars map[string]Calendar `json:"calendars"`
	Sites     map[string]Site     `json:"sites"`
}

// Site is a place with poolers of its own.
type Site struct {
	Zone     string `json:"zone"` // an IANA name
	Calendar string `json:"calendar"`
}

// Plan is a site's, if the book has it.
func (b Book) Plan(site string) (Plan, bool) {
	s, ok := b.Sites[site]
	return Plan{s.Zone, b.Calendars[s.Calendar]}, ok
}

// Check compiles every site's plan and every calendar. Errors are *Error, from the book on.
func (b Book) Check() error {
	for _, name := range slices.Sorted(maps.Keys(b.Calendars)) {
		if _, err := Compile(Plan{"UTC", b.Calendars[name]}); err != nil {
			return wrapPath(err, "calendars", name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(b.Sites)) {
		s := b.Sites[name]
		if _, ok := b.Calendars[s.Calendar]; !ok {
			return wrapPath(fmt.Errorf("no calendar is named %q", s.Calendar), "sites", name, "calendar")
		}
		if name == "" {
			return wrapPath(errors.New("a site without a name"), "sites")
		}
		if _, err := Compile(Plan{Zone: s.Zone}); err != nil {
			return wrapPath(err, "sites", name)
		}
	}
	return nil
}
