"""Selects the backend server of each request, or refuses the request."""
