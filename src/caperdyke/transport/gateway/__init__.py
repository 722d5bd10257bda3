"""A gateway: an entry instance that sends requests straight to registered backend servers."""
