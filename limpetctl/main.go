// Command limpetctl is the operators' client.
package main

func main() {}
