// Command standin-caller is not complete yet.
package main

func main() {}
