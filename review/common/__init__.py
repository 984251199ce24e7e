"""What the cases of the review share: small stand-ins on loopback, gateways as processes, and the record."""
