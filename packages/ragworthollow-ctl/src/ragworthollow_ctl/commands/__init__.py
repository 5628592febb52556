"""Commands of `ragworthctl`, one module each."""
