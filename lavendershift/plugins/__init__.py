"""Plug-ins shipped with lavendershift; each registers itself when imported."""
