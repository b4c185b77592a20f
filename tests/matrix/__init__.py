"""The fault matrix: every fault at every step, judged by the ledgers."""
