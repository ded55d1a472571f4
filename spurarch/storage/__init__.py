"""State that outlives a process: records in the state service, the copy of them here, and clients with rate limits."""
