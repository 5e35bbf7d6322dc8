"""View of what all nodes run on each engine, shared between nodes."""
