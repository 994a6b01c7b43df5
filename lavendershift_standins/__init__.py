"""Small stand-ins for the platform, the model engines and the plain services."""
