// Package standin provides fakes of the systems around the mesh: the platform's
// read-only configuration service with its host list, and a backend server.
// They are used in demonstrations, benchmarks and tests.
package standin
