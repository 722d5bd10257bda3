"""The fault soak's own parts, without processes."""
