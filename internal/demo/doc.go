// Package demo runs the example deployments in one process on loopback: a
// stand-in platform, nodes in three availability zones and stand-in backend
// servers. It publishes tickets, sends calls, drains a backend server, floods a
// service, kills and restarts a node, and checks the guarantees of the system
// from the outside.
package demo
