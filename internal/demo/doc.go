// Package demo runs the example deployments in one process on loopback: a
// stand-in platform, nodes in three availability zones and stand-in backend
// servers. It files tickets, sends calls, drains a backend server, floods,
// kills and restarts a node, and checks what the system promises from the
// outside.
package demo
