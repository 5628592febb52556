Feature: The exit of an entry or a sidecar that stops

  @each.daemon_process
  Scenario: An entry stops while an operator's change is in progress
    # Guards against requests that a stopping process does not wait for.
    When an entry process stops during a change, and the store is slow
    Then the operator got the complete response to the change

  @each.daemon_service
  @each.log_lines
  Scenario: A request does not end while an entry stops
    # Guards against a limit that each part of a shutdown has for itself.
    When an entry with a limit of 1000 ms stops, and a request hangs
    Then the whole stop did not take twice its limit
