"""Demonstrate and measure the system."""
