// Command burdock-entryd is not complete yet.
package main

func main() {}
