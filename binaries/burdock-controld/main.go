// Command burdock-controld is not complete yet.
package main

func main() {}
