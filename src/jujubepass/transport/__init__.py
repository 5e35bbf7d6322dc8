"""HTTP between processes, and frames between nodes."""
