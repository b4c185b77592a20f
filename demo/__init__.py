"""The demonstration: a fleet of processes through a data centre's leave."""
