"""The conformance suite: named cases against the real program as a process, among stand-in peers on loopback.

It imports what the gateway reads (configuration) and nothing of how it works: a case knows the published
specifications and the operators' pages, and judges by what peers see on their sockets.
"""
