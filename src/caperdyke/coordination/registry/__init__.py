"""What is known of configuration, backend servers and instances, merged from several sources."""
