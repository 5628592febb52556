@each.gateway
Feature: Behind a thin link

  Scenario: A configuration takes longer to come than a small answer may
    # Callers of 14 of 20 gateways got "not found" on routes added a minute
    # before, and were served on routes taken away.  The configuration had
    # grown to 350 KB, which 5 Mbit/s carry in 560 ms; each call was given up
    # after 450 ms although bytes were coming, and the next one began anew.
    Given a store behind a link of 5 Mbit/s
    When the operators add 1400 routes
    And the operators add a route for /new/
    Then the gateway serves /new/answer within its bound

  Scenario: An instance leaves beside a large configuration
    # The list of instances comes with the same call.  An instance that left
    # after the configuration had grown got requests until it was gone, and
    # one that came got none.
    Given a store behind a link of 5 Mbit/s
    When the operators add 1400 routes
    And instance u2 leaves
    Then the gateway sends to u1 only

  Scenario: What has not changed is not sent again
    # A gateway that reads the whole text with every poll fills the link that
    # its callers' requests and answers need as well.
    Given a store behind a link of 5 Mbit/s
    When the operators add 1400 routes
    And the gateway takes the configuration
    Then 10 further polls carry less than one configuration

  Scenario: Large configurations follow each other faster than they come
    # Eight versions within one transfer: taken one after the other, each
    # would find more of them waiting than the one before, and the newest
    # would never be in force.
    Given a store behind a link of 5 Mbit/s
    When the operators add 1400 routes in each of 8 versions
    Then the gateway takes the configuration
    And it received no more than 3 configurations

  Scenario: The store falls silent in the middle of an answer
    # Bytes that come keep a call alive; a connection that went silent after
    # half of its answer must not keep the gateway from asking again.
    Given the store stops in the middle of one answer
    When the operators add 1400 routes
    Then the gateway takes the configuration

  Scenario Outline: A peer of the fleet is behind a thin link
    # Where members publish their files through the system itself, a process
    # asks a peer for what it lacks.  A peer with a large generation sent it
    # for as long as a silent one is waited for, again and again.
    Given a peer that answers at 2 Mbit/s
    When a process asks it for <what>
    Then the answer is taken

    Examples:
      | what                               |
      | 400 kB of configuration            |
      | the instances of a fleet of 4000   |
