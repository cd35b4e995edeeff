package command

type standinCmd struct{}
