"""Daemon that runs all roles of one instance."""
