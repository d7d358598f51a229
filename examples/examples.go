// Package examples holds the ticket files of two deployments. The files under
// rejected are bad on purpose.
package examples

import (
	"embed"
	"io/fs"
	"path"
)

//go:embed lakeshore roshan-nazar
var files embed.FS

// Deployment is one user's fleet as ticket files.
type Deployment struct {
	// Name is the folder of the files.
	Name string
	// Tickets are the tickets from number 1 on, in order.
	Tickets [][]byte
	// Rejected is a ticket that follows them and that every node rejects.
	Rejected []byte
}

// Deployments returns the deployments of this package.
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

// read returns the files that match a pattern, ordered by name.
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
