Feature: Gateways that are stopped at random

  Scenario: Gateways are stopped while their callers keep connections open
    # Guards against a stop that cuts a request, repeats one, or refuses one
    # that ran, at any moment, and in any order with other disturbances.
    When gateway processes are disturbed at random from seed 3 for 8 seconds
    Then no request was cut by a stop, doubled, crossed or falsely refused
