package main

func burst() (int, error) { return unable, nil }
