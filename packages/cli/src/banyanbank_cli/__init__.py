"""The banyanbank command line for operators and callers."""
