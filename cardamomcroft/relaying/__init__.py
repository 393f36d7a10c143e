"""Hand clients' calls on to an instance that reaches the store."""
