// Package comfreyrpc implements the protocol between the processes of
// comfreyridge: signed requests, unary calls over twirp, and streams of
// length-delimited frames.
package comfreyrpc
