"""HTTP server and client, and the project's extensions of their libraries."""
