// Command siskinrill routes requests to servers that own keys exclusively.
package main

func main() {}
