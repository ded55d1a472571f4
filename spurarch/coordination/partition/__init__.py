"""What a controller does for the partitions that it owns.

It tracks machines and task attempts, answers heartbeats, sends commands to workers, and writes the partition's records.
"""
