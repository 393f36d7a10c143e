"""In-memory stand-ins for the platform in tests, demos and benches."""
