package command

type statusCmd struct{}
