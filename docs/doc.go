// Package docs holds the documentation pages of the project. Its tests compare the
// generated sections of the pages with the code.
package docs
