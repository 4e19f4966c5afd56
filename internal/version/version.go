// Package version contains the release that all programs of the project print.
package version

// Version is the release.
const Version = "0.1.0"
