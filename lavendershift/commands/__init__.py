"""Subcommands of the ``lavendershift`` command line, one module per group."""
