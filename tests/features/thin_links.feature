@each.gateway
Feature: Gateways and processes behind slow links

  Scenario: A configuration transfers for longer than a small response may take
    # Callers of 14 of 20 gateways got "not found" on routes added a minute
    # before, and were served on removed routes. The configuration had grown to
    # 350 KB, 560 ms at 5 Mbit/s; each call was cancelled after 450 ms although
    # bytes were arriving, and the next one began anew.
    Given a store behind a link of 5 Mbit/s
    When the operators add 1400 routes
    And the operators add a route for /new/
    Then the gateway serves /new/answer within its bound

  Scenario: An instance leaves while the configuration is large
    # The list of instances is read by the same call. An instance that left
    # after the configuration had grown got requests until it had terminated,
    # and a new instance got none.
    Given a store behind a link of 5 Mbit/s
    When the operators add 1400 routes
    And instance u2 leaves
    Then the gateway sends to u1 only

  Scenario: Unchanged data is not sent again
    # A gateway that reads the full text with every poll fills the link that its
    # callers' requests and responses need as well.
    Given a store behind a link of 5 Mbit/s
    When the operators add 1400 routes
    And the gateway applies the configuration
    Then 10 further polls carry less than one configuration

  Scenario: Large configurations follow each other faster than they transfer
    # Eight versions are written within one transfer. Read one after the other,
    # each would find more versions waiting than the one before, and the newest
    # would never become active.
    Given a store behind a link of 5 Mbit/s
    When the operators add 1400 routes in each of 8 versions
    Then the gateway applies the configuration
    And it received no more than 3 configurations

  Scenario: The store stops sending in the middle of a response
    # Arriving bytes keep a call alive; a connection that stops after half of
    # its response must not keep the gateway from polling again.
    Given the store stops in the middle of one answer
    When the operators add 1400 routes
    Then the gateway applies the configuration

  Scenario Outline: A peer of the fleet is behind a slow link
    # Where members publish their files through the system itself, a process
    # requests missing files from a peer. A peer with a large generation sent it
    # until the timeout for an unresponsive peer, again and again.
    Given a peer that answers at 2 Mbit/s
    When a process requests <what> from it
    Then the response is accepted

    Examples:
      | what                               |
      | 400 kB of configuration            |
      | the instances of a fleet of 4000   |
