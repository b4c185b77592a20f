"""Benchmarks; absolute times are noisy, so compare the ratios."""
