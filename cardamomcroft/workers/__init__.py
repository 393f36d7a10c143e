"""Keep leases on workers and share their slots."""
