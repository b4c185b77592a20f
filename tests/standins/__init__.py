"""Small stand-ins for the systems outside, and a launcher of processes."""
