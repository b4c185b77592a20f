"""Stand-ins of callers, engines and the platform's store for the cases."""
