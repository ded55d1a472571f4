"""What outlives a process: records in the state service, the copy of them kept here, rate limits."""
