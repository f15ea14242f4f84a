// Command burdockctl is not complete yet.
package main

func main() {}
