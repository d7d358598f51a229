// Package examples embeds the ticket files of two deployments. The files in the
// folders named rejected are invalid on purpose.
package examples

import (
	"embed"
	"io/fs"
	"path"
)

//go:embed lakeshore roshan-nazar
var files embed.FS

// Deployment holds the ticket files of one user's fleet.
type Deployment struct {
	// Name is the name of the folder that holds the files.
	Name string
	// Tickets holds the tickets in order, starting with number 1.
	Tickets [][]byte
	// Rejected is the ticket after the last one of Tickets. Every node rejects it.
	Rejected []byte
}

// Deployments returns the embedded deployments.
func Deployments() ([]Deployment, error) {
	var all []Deployment
	for _, name := range []string{"lakeshore", "roshan-nazar"} {
		tickets, err := read(path.Join(name, "*.json"))
		if err != nil {
			return nil, err
		}
		rejected, err := read(path.Join(name, "rejected", "*.json"))
		if err != nil {
			return nil, err
		}
		all = append(all, Deployment{Name: name, Tickets: tickets, Rejected: rejected[0]})
	}
	return all, nil
}

// read returns the contents of the files that match a pattern, in the order of their
// names.
func read(pattern string) ([][]byte, error) {
	names, err := fs.Glob(files, pattern)
	if err != nil {
		return nil, err
	}
	var contents [][]byte
	for _, name := range names {
		content, err := files.ReadFile(name)
		if err != nil {
			return nil, err
		}
		contents = append(contents, content)
	}
	return contents, nil
}
