"""Fuse the platform's list with direct evidence."""
