package goldentest

import (
	"bytes"
	"fmt"

	"github.com/alecthomas/kong"
)

// CommandLine lists the sub-commands of a program, and the flags and arguments of each with their defaults, choices and variables.
// The program's own name is left out, and so are the help texts.
func CommandLine(commands any) ([]byte, error) {
	parser, err := kong.New(commands, kong.Name("program"))
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	appendCommand(&out, "", parser.Model.Node)
	return out.Bytes(), nil
}

func appendCommand(out *bytes.Buffer, path string, n *kong.Node) {
	hidden := ""
	if n.Hidden {
		hidden = " (hidden)"
	}
	fmt.Fprintf(out, "command %q%s\n", path, hidden)
	for _, f := range n.Flags {
		appendValue(out, "--"+f.Name, f.Value)
		if f.Short != 0 {
			fmt.Fprintf(out, "\tshort -%c\n", f.Short)
		}
	}
	for _, p := range n.Positional {
		appendValue(out, "<"+p.Name+">", p)
	}
	for _, child := range n.Children {
		name := child.Name
		if path != "" {
			name = path + " " + name
		}
		appendCommand(out, name, child)
	}
}

func appendValue(out *bytes.Buffer, name string, v *kong.Value) {
	fmt.Fprintf(out, "  %s type=%v default=%q enum=%q env=%q required=%v\n", name, v.Target.Type(), v.Default, v.Enum, v.Tag.Envs, v.Required)
}
