"""Load generators, simulations and benchmarks."""
