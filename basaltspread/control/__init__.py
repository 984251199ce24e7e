"""What subsystems decide: limits, budgets, health, routes, queues. No module here does I/O, reads a clock or
draws a random number that it was not given."""
