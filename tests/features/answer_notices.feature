@each.gateway
Feature: An instance is believed what it says of itself in its answers

  Scenario Outline: An instance leaves while the store is away, and says so in <what>
    # Guards against work for an instance that leaves: with the store away its
    # entry still read ready, and requests reached it long after an answer had
    # said that it leaves.
    Given the store is away
    And u1 leaves, which only its answers say
    When callers post to <path> until u1 has answered
    And it is under suspicion no more
    And 20 more callers post to /safe/answer
    Then u1 has got nothing since its answer
    And all were served

    Examples:
      | what                | path            |
      | a whole answer      | /safe/answer    |
      | an error            | /safe/fail      |
      | a refusal           | /safe/refuse    |
      | a stream's head     | /stream/stream  |
      | a stream that broke | /resumable/break |

  Scenario: The other gateways hear of it
    # Guards against gateways that each send work until an answer tells them,
    # while others know already.
    Given two more gateways and an instance for stage work
    And the store is away
    And u1 leaves, which only its answers say
    When callers post to /safe/answer until u1 has answered
    And the gateways have told each other
    And 20 more callers post to /safe/answer at each gateway
    Then u1 has got nothing since its answer

  Scenario: The store comes back with an entry that still reads ready
    # Guards against an older list that takes back what the instance has said.
    Given the store is away
    And u1 leaves, which only its answers say
    When callers post to /safe/answer until u1 has answered
    And the store is back and was read
    And 20 more callers post to /safe/answer
    Then u1 has got nothing since its answer

  Scenario: An instance starts again under its name after it has left
    # Guards against a word that is held against another start of an instance.
    Given the store is away
    And u1 leaves, which only its answers say
    When callers post to /safe/answer until u1 has answered
    And u1 has started again and is listed
    And 20 more callers post to /safe/answer
    Then u1 has got work since its answer

  Scenario: Every instance of a pool leaves
    # Guards against a try at an instance that leaves, since none is left.
    Given u1 and u2 leave, which only their answers say
    When callers post to /safe/answer until u1 has answered
    And callers post to /safe/answer until u2 has answered
    And 5 more callers post to /safe/answer
    Then u1 has got nothing since its answer
    And all were refused as not run

  Scenario: An instance leaves that makes pieces
    # Guards against calls for pieces that go on to an instance that leaves.
    Given two more gateways and an instance for stage work
    And another instance for stage work
    And s1 leaves, which only its answers say
    When callers post stage work until s1 has answered
    And the gateways have told each other
    And 12 more callers post stage work through all gateways
    Then s1 has got nothing since its answer

  Scenario: Every instance that makes pieces leaves
    # Guards against hosts of gates that seem silent and refusals that cannot be
    # read, since the wait for an empty pool has no end.
    Given two more gateways and an instance for stage work
    And s1 leaves, which only its answers say
    When callers post stage work until s1 has answered
    And the gateways have told each other
    And 6 impatient callers post stage work through all gateways
    Then s1 has got nothing since its answer
    And all were refused as not run
    And no gateway takes another for silent

  Scenario: An instance asks to be left alone for a while
    # Guards against requests for an instance that has refused one and said when
    # it wants the next.
    Given u1 refuses and wants nothing for 600 seconds
    When callers post to /safe/answer until u1 has answered
    And it is under suspicion no more
    And 20 more callers post to /safe/answer
    Then u1 has got nothing since its answer
    And all were served

  Scenario: Every instance of a pool asks to be left alone
    # Guards against callers who wait for, or are sent back to, instances that
    # have all said when they want the next request.
    Given u1 refuses and wants nothing for 600 seconds
    And u2 refuses and wants nothing for 60 seconds
    When callers post to /safe/answer until u1 has answered
    And callers post to /safe/answer until u2 has answered
    And 5 more callers post to /safe/answer
    Then u1 has got nothing since its answer
    And all were refused as not run, for 59 to 90 seconds

  Scenario: The time is over for which an instance wanted nothing
    # Guards against an instance that is left out for good.
    Given u1 refuses and wants nothing for 0.2 seconds
    When callers post to /safe/answer until u1 has answered
    And u1 takes requests again and its time is over
    And it is under suspicion no more
    And callers post to /safe/answer until u1 has answered again
    Then the last one was served
