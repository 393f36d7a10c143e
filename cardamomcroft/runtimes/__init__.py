"""Learn run times and workers' speeds from finished runs."""
