"""The laboratory: engines, clients and a fleet in virtual time. The gateway never imports it."""
