"""Measurements; absolute times are noisy, ratios count."""
