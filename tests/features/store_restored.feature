Feature: The store comes back from a copy

  @each.gateway
  Scenario: A configuration is accepted after the store has come back
    # Guards against a gateway that takes what is newer for older: a store that
    # comes back from a copy gives its revisions out again.
    Given the store was copied, and has gone on for 20 revisions
    When the store comes back from its copy
    And the operators write version 5 without the route of /safe/
    Then version 5 is in force
    And a caller of /safe/answer is answered 404

  Scenario: The store is written, silent and restored in any order
    # Guards against a copy that holds some of a state that is gone.
    When a store is written, copied, restored and silent in any order
    Then the gateway holds what the store holds after each poll that is answered
