"""The banyanbankd process: entry, control and membership on one loop."""
