"""Forwarding of HTTP requests to plain services and to pipelines of engines."""
