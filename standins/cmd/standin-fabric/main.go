// Command standin-fabric is not complete yet.
package main

func main() {}
