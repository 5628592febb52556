"""Tools that run, load and measure the system; not part of the product."""
