"""Backend servers: discovery, load and departures."""
