"""Queues, connections and HTTP exchanges for backend servers."""
