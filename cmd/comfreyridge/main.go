// Command comfreyridge serves text generations of unknown length.
package main

import "fmt"

func main() {
	fmt.Println("comfreyridge")
}
