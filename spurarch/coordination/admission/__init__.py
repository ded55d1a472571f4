"""Admission, run by the leader: assigns tasks to partitions within the quotas, and records final states of jobs."""
