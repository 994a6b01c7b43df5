"""Admission of requests on a VM whose event loop can't keep up."""
