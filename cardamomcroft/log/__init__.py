"""Append, read and confirm records of the platform log."""
