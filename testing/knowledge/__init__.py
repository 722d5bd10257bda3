"""What the instances of a fleet know of the store's tables, played on a simulated clock."""
