"""HTTP interface for callers: parsing of requests and writing of responses."""
