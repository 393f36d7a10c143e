"""Adapt the scheduler to the platform's interfaces."""
