package calendar

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Book holds the operators' calendars and the sites that use them.
type Book struct {
	Calendars map[string]Calendar `json:"calendars"` // by name
	Sites     map[string]Site     `json:"sites"`     // by name
}

// Site is a location with its own poolers.
type Site struct {
	Zone     string `json:"zone"`     // IANA time zone name
	Calendar string `json:"calendar"` // name of the calendar in Book.Calendars
}

// Plan returns the plan of a site. ok is false if the book does not contain the site.
func (b Book) Plan(site string) (p Plan, ok bool) {
	s, ok := b.Sites[site]
	return Plan{Zone: s.Zone, Calendar: b.Calendars[s.Calendar]}, ok
}

// Check compiles every calendar and checks every site. It returns an *Error for the first invalid value, with a path that starts at the
// book.
func (b Book) Check() error {
	for _, name := range slices.Sorted(maps.Keys(b.Calendars)) {
		if _, err := Compile(Plan{Zone: "UTC", Calendar: b.Calendars[name]}); err != nil {
			return wrapPath(err, "calendars", name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(b.Sites)) {
		if err := b.checkSite(name); err != nil {
			return err
		}
	}
	return nil
}

// checkSite checks the name, calendar and zone of one site.
func (b Book) checkSite(name string) error {
	site := b.Sites[name]
	if _, ok := b.Calendars[site.Calendar]; !ok {
		return wrapPath(fmt.Errorf("no calendar is named %q", site.Calendar), "sites", name, "calendar")
	}
	if name == "" {
		return wrapPath(errors.New("site name is empty"), "sites")
	}
	_, err := Compile(Plan{Zone: site.Zone})
	return wrapPath(err, "sites", name)
}
