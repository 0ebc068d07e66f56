package main

import (
	"fmt"
	"os"

	"github.com/pkg/errors"
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: account REPORT...: prints where the worth of played days was lost, by the reports of the bench")
		os.Exit(2)
	}
	for _, path := range os.Args[1:] {
		if err := printAccount(path); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}

func printAccount(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open a report")
	}
	defer file.Close()
	d, err := decodeReport(file)
	if err != nil {
		return errors.Wrap(err, path)
	}
	d.write(os.Stdout)
	return nil
}
