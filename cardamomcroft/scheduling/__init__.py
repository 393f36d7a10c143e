"""Decide which accepted jobs run where, and recover what others decided."""
