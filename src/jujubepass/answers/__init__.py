"""Model requests from their first attempt to the last token."""
