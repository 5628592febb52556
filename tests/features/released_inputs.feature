Feature: A failure after inputs were released costs one request, and says so

  Scenario: An instance crashes after it has read inputs that were released
    # The next instance finds the inputs gone.  Its request can't go on; the
    # caller has to learn at once that it has not run and may come back.
    Given a request whose second stage reads inputs that take scarce space
    When a piece that failed after the release is sent again
    Then the request is refused as not run, with a time to come back
    And none of its results is kept

  Scenario: Inputs are released at the present host of the pool that made them
    # The scheduler of a pool moves to another gateway. Told to the one before,
    # the space would count as taken for four seconds.
    Given inputs of a pool whose scheduler another gateway hosts
    When they are released by the host of the stage that has read them
    Then that other gateway is told

  Scenario: Inputs are released although the host that counts them is gone
    Given inputs of a pool whose scheduler another gateway hosts
    When they are released while that gateway does not answer
    Then the instance that keeps them is told

  Scenario: A host that went silent is not asked whether a pool lacks space
    # A gateway that hosted a scheduler was killed. Its last word that space is
    # short would hold for ever.
    Given a host that reported that a pool is short of space
    When the pool has another host
    Then the pool does not count as short of space for requests

  Scenario: A gateway of the version before reports no shortage
    # During a restart in turn hosts of both versions answer pings.
    When a host answers without the field for shortages
    Then none of its pools counts as short of space
