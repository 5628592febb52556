Feature: What a gateway knows of the store is what the store holds

  Scenario: Watches hear nothing and their history is dropped
    # An instance that left went on getting requests.  The store's watches had
    # heard nothing for a second, and its history was dropped after that; the
    # gateway had stepped over the silence, since each empty answer gave the
    # revision of a store that went on.
    When a store is written, falls silent and drops its history in any order
    Then the gateway's copy is the store's after each poll that is answered

  Scenario: A copy that trusts the revision of an empty answer goes wrong
    # Keeps the scenario above honest: the same writes have to show it.
    When a gateway that goes on from the revision of each answer follows them
    Then its copy differs from the store's
