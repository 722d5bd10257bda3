"""The gateway: an entry instance that sends requests directly to registered backend servers."""
