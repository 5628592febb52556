@each.gateway
Feature: Instances report their state in response metadata

  Scenario Outline: An instance shuts down in a store outage, reported in <what>
    # Guards against work for an instance that is shutting down: while the store
    # was unavailable its record still read ready, and requests reached it long
    # after a response had reported the shutdown.
    Given the store is unavailable
    And u1 shuts down, which only its responses report
    When callers post to <path> until u1 has answered
    And it is no longer suspected
    And 20 more callers post to /safe/answer
    Then u1 has got no work since its response
    And all were served

    Examples:
      | what                | path            |
      | a whole answer      | /safe/answer    |
      | an error            | /safe/fail      |
      | a refusal           | /safe/refuse    |
      | a stream's head     | /stream/stream  |
      | a stream that broke | /resumable/break |

  Scenario: The other gateways are notified of a shutdown
    # Guards against gateways that send work until they get a response
    # themselves, although other gateways know of the shutdown already.
    Given two more gateways and an instance for stage work
    And the store is unavailable
    And u1 shuts down, which only its responses report
    When callers post to /safe/answer until u1 has answered
    And the gateways have notified each other
    And 20 more callers post to /safe/answer at each gateway
    Then u1 has got no work since its response

  Scenario: The store recovers with a record that still reads ready
    # Guards against an older list that overrides what the instance reported.
    Given the store is unavailable
    And u1 shuts down, which only its responses report
    When callers post to /safe/answer until u1 has answered
    And the store is available again and was read
    And 20 more callers post to /safe/answer
    Then u1 has got no work since its response

  Scenario: An instance starts again under its name after its shutdown
    # Guards against a report that is applied to a later incarnation.
    Given the store is unavailable
    And u1 shuts down, which only its responses report
    When callers post to /safe/answer until u1 has answered
    And u1 has restarted and is listed
    And 20 more callers post to /safe/answer
    Then u1 has got work since its response

  Scenario: Every instance of a pool shuts down
    # Guards against an attempt at an instance that is shutting down because no
    # other is left.
    Given u1 and u2 shut down, which only their responses report
    When callers post to /safe/answer until u1 has answered
    And callers post to /safe/answer until u2 has answered
    And 5 more callers post to /safe/answer
    Then u1 has got no work since its response
    And all were refused as not run

  Scenario: An instance that produces pieces shuts down
    # Guards against calls for pieces that are still sent to an instance that is
    # shutting down.
    Given two more gateways and an instance for stage work
    And another instance for stage work
    And s1 shuts down, which only its responses report
    When callers post stage work until s1 has answered
    And the gateways have notified each other
    And 12 more callers post stage work through all gateways
    Then s1 has got no work since its response

  Scenario: Every instance that produces pieces shuts down
    # Guards against scheduler hosts that seem unresponsive and refusals that
    # cannot be decoded, since the estimated wait for an empty pool is infinite.
    Given two more gateways and an instance for stage work
    And s1 shuts down, which only its responses report
    When callers post stage work until s1 has answered
    And the gateways have notified each other
    And 6 impatient callers post stage work through all gateways
    Then s1 has got no work since its response
    And all were refused as not run
    And no gateway takes another for unresponsive

  Scenario: An instance asks callers to back off
    # Guards against requests for an instance that has refused one and said when
    # it accepts the next.
    Given u1 refuses and asks to back off for 600 seconds
    When callers post to /safe/answer until u1 has answered
    And it is no longer suspected
    And 20 more callers post to /safe/answer
    Then u1 has got no work since its response
    And all were served

  Scenario: Every instance of a pool asks callers to back off
    # Guards against callers that wait for, or are told to retry too early at,
    # instances that have all said when they accept the next request.
    Given u1 refuses and asks to back off for 600 seconds
    And u2 refuses and asks to back off for 60 seconds
    When callers post to /safe/answer until u1 has answered
    And callers post to /safe/answer until u2 has answered
    And 5 more callers post to /safe/answer
    Then u1 has got no work since its response
    And all were refused as not run, for 59 to 90 seconds

  Scenario: The back-off time of an instance ends
    # Guards against an instance that is left out permanently.
    Given u1 refuses and asks to back off for 0.2 seconds
    When callers post to /safe/answer until u1 has answered
    And u1 accepts requests again and its back-off time is over
    And it is no longer suspected
    And callers post to /safe/answer until u1 has answered again
    Then the last one was served
