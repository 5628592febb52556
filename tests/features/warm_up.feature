Feature: Instances that warm up get no more than they bear

  Scenario Outline: All gateways prefer the instances that warm up
    # Guards against a crowd at an instance that has just started: it looks like
    # the least loaded one in the reports that all gateways read.
    When <gateways> gateways send to a pool in which <what> warms up
    Then no instance gets more than its burst in any second

    Examples:
      | gateways | what             |
      | 1        | one instance     |
      | 4        | a failure domain |
      | 21       | the whole pool   |
      | 68       | a failure domain |
      | 300      | one instance     |

  Scenario Outline: Gateways do not hear of each other
    # Guards against senders that are chosen from two lists of members, or by
    # gateways that know only themselves.
    When <gateways> gateways send to a pool that warms up, and there are <what>
    Then no instance gets more than its burst in any second

    Examples:
      | gateways | what                |
      | 4        | two sides of a cut  |
      | 21       | two sides of a cut  |
      | 68       | two sides of a cut  |
      | 4        | all gateways new    |
      | 21       | all gateways new    |
      | 68       | all gateways new    |

  Scenario Outline: A wrong way of holding back is noticed
    # Guards against a check that would pass without what it checks.
    When 21 gateways send <variant> to a pool that warms up
    Then some instance gets more than its burst

    Examples:
      | variant                       |
      | as all others                 |
      | equal share                   |
      | without a time to settle      |
      | with a bucket for each second |

  Scenario: Any rate, burst and number of gateways
    # Guards against shares that exceed the burst where two lists of members
    # are in use.
    Then for any of them two choices of senders together keep within the burst

  Scenario: The leases of all gateways ran out in an outage
    # Guards against gateways that choose the senders from a list that has
    # hardly anybody back.
    Then a gateway that is no longer listed sends nothing until it has settled

  Scenario: An entry is older than what the instance has said
    # Guards against an older entry that takes back what the instance has said.
    Then the longest of both times holds

  Scenario: More instances have started than are remembered
    # Guards against an instance that is taken for warm since it has lived longer
    # than most others.
    Then the one that was told of last is remembered, however old it is

  @each.gateway
  Scenario: Every instance of a pool warms up
    # Guards against callers who wait for their turn at instances that have got
    # what they bear, and are not told when to come back.
    Given u1 and u2 warm up for 60 seconds, and bear 2 requests a second
    When 12 callers post to /safe/answer at the same time
    Then some were served, and the others refused at once as not run
    And neither u1 nor u2 got more than 2 requests

  @each.gateway
  Scenario: One instance of a pool warms up
    # Guards against refusals while another instance may get any number.
    Given u1 warms up for 60 seconds, and bears 2 requests a second
    When 12 callers post to /safe/answer at the same time
    Then all of them were served
    And u1 got no more than 2 requests

  @each.gateway
  Scenario: An instance is warm before its time is over
    # Guards against instances that are held back longer than they say.
    Given u1 and u2 warm up for 60 seconds, and bear 2 requests a second
    When the entries of u1 and u2 say that they are warm
    And 12 callers post to /safe/answer at the same time
    Then all of them were served

  @each.gateway
  Scenario: A failure domain is restored
    # Guards against a crowd at instances that became cold while their domain
    # was drained, before their entries say so.
    Given instances that bear 2 requests a second while they warm up
    When domain one was drained and is restored
    And 12 callers post to /safe/answer at the same time
    Then neither u1 nor u2 got more than 2 requests

  @each.gateway
  Scenario: An instance says in an answer that it has become cold
    # Guards against a crowd at an instance whose entry still says that it is
    # warm.
    Given instances that bear 2 requests a second while they warm up
    And u1 and u2 have become cold, which only their answers say
    When callers have got an answer of u1 and of u2
    And 12 callers post to /safe/answer at the same time
    Then neither u1 nor u2 got more than 2 requests after that

  @each.gateway
  Scenario: Stage work is done when all instances have got what they bear
    # Guards against stage work that is thrown away, where a moment's wait would
    # have been in time.
    Given two more gateways and an instance for stage work
    And u1 and u2 warm up for 60 seconds, and bear 2 requests a second
    When 3 callers bring stage work to a gateway that may send
    Then all of them were served
