"""Combine the platform's instance list with the digests of peers."""
