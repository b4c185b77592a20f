"""Demonstration: a fleet of processes while a data centre is withdrawn."""
