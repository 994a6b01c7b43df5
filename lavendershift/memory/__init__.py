"""Limits of what a process holds for callers and servers: decisions without I/O."""
