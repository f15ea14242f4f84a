// Command standin-endpoint is not complete yet.
package main

func main() {}
