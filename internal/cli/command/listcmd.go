package command

type listCmd struct{}
