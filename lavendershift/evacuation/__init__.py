"""Servers that get less or nothing for now: evacuated, cold or in other regions."""
