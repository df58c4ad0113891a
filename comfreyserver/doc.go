// Package comfreyserver serves HTTP/1.1 on listeners whose planned stop answers every
// request that it reads.
//
// http.Server.Shutdown is not used: a server on which it was called closes a connection
// after it has read a request from it, without a response, if the connection had no
// request when the shutdown began.
package comfreyserver
