Feature: Hedged attempts are all accounted for

  Scenario: The first attempt may have run and the hedge was refused
    # An encoder is slow and a hedge starts.  The first attempt is lost after it
    # was handed over, then the hedge is refused as busy.  The caller was told
    # that nothing had run, since only the last outcome was recorded.
    Given a first attempt that is lost and a hedge that is refused later
    When the stage is aborted
    Then the outcome of the request is unknown
    And no instance was searched for in a loop

  Scenario: A pool has no instance left
    # Every instance of a pool has left the list.  The entry searched for one in
    # a loop until the deadline and served no other request meanwhile.
    Given a pool without instances
    When the stage is aborted
    Then the outcome of the request is not_run
    And no instance was searched for in a loop
