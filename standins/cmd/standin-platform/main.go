// Command standin-platform is not complete yet.
package main

func main() {}
