"""Start, settle and take over jobs."""
