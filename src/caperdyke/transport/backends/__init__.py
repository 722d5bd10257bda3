"""Backend servers: queues, connections and exchanges."""
