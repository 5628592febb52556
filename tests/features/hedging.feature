Feature: Hedged attempts are all accounted for

  Scenario: The first attempt may have run and the hedge was refused
    # An encoder is slow, a second attempt starts beside it. The first is lost
    # after it was handed over, then the second is refused as busy. The caller
    # was told that nothing had run, since only the last end was noted.
    Given a first attempt that is lost and a hedge that is refused later
    When the stage is given up
    Then the outcome of the request is unknown
    And no instance was looked for again and again

  Scenario: A pool has no instance left
    # Every instance of a pool has left the list. The entry looked for one
    # again and again until the deadline, and served nobody else meanwhile.
    Given a pool without instances
    When the stage is given up
    Then the outcome of the request is not_run
    And no instance was looked for again and again
