"""Orders that bring engines to their declared deployments."""
