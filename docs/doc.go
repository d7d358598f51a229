// Package docs holds the pages of the project. Its tests compare the generated
// parts of the pages with the code.
package docs
