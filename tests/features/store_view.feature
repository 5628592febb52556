Feature: A gateway's replica matches the store

  Scenario: Watches report nothing and their history is dropped
    # An instance that had left still got requests. The store's watches had
    # reported nothing for a second, and their history was dropped after that.
    # The gateway had skipped that second, since each empty response gave the
    # current revision of a store that was still being written.
    When a store is written, stops reporting changes and drops its history in any order
    Then the gateway's replica equals the store after each poll that is answered

  Scenario: A replica that trusts the revision of an empty response diverges
    # Verifies the scenario above: the same writes must expose the fault.
    When a gateway that continues from the revision of each response polls them
    Then its replica differs from the store
