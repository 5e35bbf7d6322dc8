"""HTTP clients and servers, and framed connections between nodes."""
