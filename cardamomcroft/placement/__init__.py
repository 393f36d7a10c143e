"""Decide where work is least likely to be wasted."""
