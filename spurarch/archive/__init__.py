"""Archives the state service's records, as snapshots and change logs on the disk of an operators' machine."""
