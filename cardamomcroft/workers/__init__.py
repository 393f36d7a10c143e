"""Renew leases on workers and divide their slots among instances."""
