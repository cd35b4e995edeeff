package command

type timelineCmd struct{}
