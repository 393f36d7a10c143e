"""Run all roles of one instance."""
