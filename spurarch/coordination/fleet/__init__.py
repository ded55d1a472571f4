"""In-memory tables of machines, jobs and teams for scheduling decisions, updated from changed records."""
