package calendar

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Book is the operators' calendars, and the sites that close by them.
type Book struct {
	Calendars map[string]Calendar `json:"calendars"` // by name
	Sites     map[string]Site     `json:"sites"`     // by name
}

// Site is a place with poolers of its own.
type Site struct {
	Zone     string `json:"zone"`     // an IANA name
	Calendar string `json:"calendar"` // its name
}

// Plan returns a site's plan; ok is false if the book does not have the site.
func (b Book) Plan(site string) (p Plan, ok bool) {
	s, ok := b.Sites[site]
	return Plan{Zone: s.Zone, Calendar: b.Calendars[s.Calendar]}, ok
}

// Check compiles every calendar and every site's plan. Its error is an *Error, from the book on.
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

// checkSite checks one site.
func (b Book) checkSite(name string) error {
	site := b.Sites[name]
	if _, ok := b.Calendars[site.Calendar]; !ok {
		return wrapPath(fmt.Errorf("no calendar is named %q", site.Calendar), "sites", name, "calendar")
	}
	if name == "" {
		return wrapPath(errors.New("a site without a name"), "sites")
	}
	_, err := Compile(Plan{Zone: site.Zone})
	return wrapPath(err, "sites", name)
}
