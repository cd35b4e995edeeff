package command

type checkCmd struct{}
