Feature: Evidence against requests that crash instances is weighed

  Scenario: Requests that ran beside it are served again
    # Guards against a judgement by crashes alone: whatever runs on an instance
    # when it crashes has been in a crash, and most of it is harmless.
    Given a request that was running in 1 crashes
    When it ends well and is running in 1 further crashes
    Then it is not quarantined

  Scenario: A quarantine ends by itself, and one more crash makes a longer one
    # Guards against a false suspicion that stays, and against an instance lost
    # for each end of a true one.
    Given a request that was running in 2 crashes
    Then it is quarantined for 300 seconds
    When that time has passed
    Then it is not quarantined
    When it is running in 1 further crashes
    Then it is quarantined for 600 seconds

  Scenario: Gateways that hear of evidence in any order agree
    # Guards against a gateway that lets a request in which others keep away,
    # since a message was lost, came twice or overtook another.
    Then any exchange of any evidence ends in one verdict of all gateways

  Scenario: A gateway that starts again is told everything
    # Guards against a gateway that knows nothing after its start and sends what
    # all others keep away.
    Given a gateway that knows of 300 requests that are quarantined
    When a gateway asks it 3 times, starts again and asks 3 times
    Then it quarantines 300 requests

  Scenario: Memory for evidence is bounded, and a quarantine is dropped last
    # Guards against callers who fill the memory with requests that were near a
    # crash until a harmful one is forgotten.
    Given a memory for 10 requests, one of which is quarantined
    When 50 others have been running in a crash
    Then 10 are remembered, and the one is still quarantined

  Scenario: Old crashes are forgotten
    # Guards against a memory that grows with each crash that a popular request
    # was near, for as long as it is popular.
    Given a request that was running in 1 crashes
    When it ends well and is running in 1 further crashes
    And 3 hours have passed and another request was running in a crash
    Then only that one is remembered

  Scenario Outline: A connection breaks at an instance that <state>
    # Guards against taking a cut answer, a reset link or a planned stop for a
    # crash: harmless requests would be quarantined.
    When a request loses its connection to an instance that <state>
    Then the request has been in <crashes> crashes

    Examples:
      | state                   | crashes |
      | listens                 | 0       |
      | has ended               | 1       |
      | has ended after leaving | 0       |

  Scenario: No organisation has another's requests taken for its own
    # Guards against a firm whose requests get those of a rival quarantined.
    Then requests are the same work only with one organisation, target and body

  Scenario Outline: Harmful requests come at a fleet, <pattern>
    # Guards against a limit that loses instances or refuses harmless callers:
    # the users allow three instances for each harmful request.
    When the fleet is played with <pattern>
    Then it loses at most 3 instances for each harmful request
    And it refuses at most 1 in 100 harmless requests

    Examples:
      | pattern                 |
      | one harmful request     |
      | three harmful requests  |
      | a hot harmless request  |
      | crashes by chance alone |
