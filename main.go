// Command fulmarcross serves models that are rarely requested.
package main

import (
	"os"

	"github.com/fulmarcross/fulmarcross/internal/cli/command"
)

func main() { os.Exit(command.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }
