"""Tests of learned run times."""
