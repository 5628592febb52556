Feature: The exit of an entry or a sidecar that stops

  @each.daemon_process
  Scenario: An entry stops while an operator's change is in progress
    # Guards against requests that a stopping process does not wait for.
    When an entry process stops during a change, and the store is slow
    Then the operator got the complete response to the change
