"""Fold the log into one immutable state."""
