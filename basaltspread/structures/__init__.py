"""Data structures made for the job, with nothing of the domain in them."""
