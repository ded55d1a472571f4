"""The leader's part: quotas, admission of tasks to partitions, final states of jobs."""
