"""Tables of machines, jobs and teams that all decisions read, kept up to date from the records."""
