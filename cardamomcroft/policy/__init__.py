"""Decide which gangs run where, without I/O or clocks."""
