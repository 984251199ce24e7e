"""A soak test: many real gateways on loopback between stand-ins, with troubles that overlap.

`python -m soak --seed N` draws a schedule from the seed, plays it and judges what clients, engines and
discovery saw, by their own clocks. The gateway never imports it.
"""
