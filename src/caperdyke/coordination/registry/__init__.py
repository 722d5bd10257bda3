"""State of configuration, backend servers and instances, merged from the store and from peers."""
