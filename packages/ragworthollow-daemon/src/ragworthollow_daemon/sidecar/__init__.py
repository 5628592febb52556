"""Run stage calls on the upstream instance next to this process."""
