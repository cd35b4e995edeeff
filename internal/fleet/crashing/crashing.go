// Package crashing holds the tests of whole entries with requests that crash targets, as package node
// serves them. They are a package of their own since they take as long as all others of node.
package crashing
