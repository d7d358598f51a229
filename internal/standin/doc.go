// Package standin holds small stand-ins for what the mesh works with: the
// platform's read-only configuration service and host list, and a backend
// server. They serve demonstrations, benches and tests.
package standin
