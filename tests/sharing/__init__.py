"""Test how scarce capacity is shared."""
