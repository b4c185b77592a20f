"""Small fakes at the ports, in one process and with virtual time."""
