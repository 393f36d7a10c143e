"""Exchange digests, log records and snapshots between instances."""
