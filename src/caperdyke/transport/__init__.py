"""Sockets, HTTP servers and clients, and the tasks that drive them."""
