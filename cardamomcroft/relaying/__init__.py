"""Forward client calls to an instance that reaches the store."""
