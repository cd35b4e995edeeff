// Command fulmarcross-entry runs one entry, the front-end process of
// fulmarcross, on the users' platform.
package main

import (
	"os"

	"github.com/fulmarcross/fulmarcross/internal/cli/member"
)

func main() { os.Exit(member.Main(os.Args[1:], os.Stdout, os.Stderr)) }
