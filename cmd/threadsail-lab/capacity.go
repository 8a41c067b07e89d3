package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"

	"threadsail/internal/capacity"
)

type capacityCmd struct {
	Data  string `default:"docs/capacity" help:"Folder of the operators' numbers (plan.json) and of the records (runs)."`
	Write string `help:"Replace the tables of this page instead of printing them."`
}

func (c *capacityCmd) Run() error {
	plan, found, err := capacity.Read(c.Data)
	if err != nil {
		return err
	}
	tables := capacity.Tables(plan, found)
	if c.Write == "" {
		for _, t := range tables {
			fmt.Printf("## %s\n\n%s\n", t.Name, t.Markdown())
		}
		return nil
	}
	text, err := fillPage(c.Write, tables)
	if err != nil {
		return err
	}
	return os.WriteFile(c.Write, []byte(text), 0o644)
}

// fillPage is a page with its tables as they are to be.
func fillPage(path string, tables []capacity.Table) (string, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return "", fmt.Errorf("%w: the page's text is written by hand", err)
	}
	if err != nil {
		return "", err
	}
	out, err := capacity.Fill(string(text), tables)
	if err != nil {
		return "", fmt.Errorf("%s:%w", path, err)
	}
	return out, nil
}
