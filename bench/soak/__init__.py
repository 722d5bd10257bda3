"""A randomized fault soak: real gateways as processes, faults from outside, checks from outside."""
