"""Network transport: sockets, HTTP, and the frame channel between controllers. Knows nothing of jobs or machines."""
