"""Backend servers: listed, loaded, leaving."""
