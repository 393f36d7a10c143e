"""Admit requests and run them on backend servers."""
