"""Evacuation of data centres: no task starts on their workers."""
