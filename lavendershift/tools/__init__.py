"""Entry points of the programs, benchmarks and measurements."""
