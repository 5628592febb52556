Feature: Instances that warm up get no more requests than they can handle

  Scenario Outline: All gateways prefer the instances that warm up
    # Guards against overloading an instance that has just started: it looks
    # like the least loaded one in the reports that all gateways read.
    When <gateways> gateways send to a pool in which <what> warms up
    Then no instance gets more than its burst in any second

    Examples:
      | gateways | what             |
      | 1        | one instance     |
      | 4        | a failure domain |
      | 21       | the whole pool   |
      | 68       | a failure domain |
      | 300      | one instance     |

  Scenario Outline: Gateways do not know of each other
    # Guards against senders that are chosen from two different lists of
    # members, or by gateways that know only themselves.
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

  Scenario Outline: A faulty way of limiting requests is detected
    # Guards against a check of the burst that cannot fail.
    When 21 gateways send <variant> to a pool that warms up
    Then some instance gets more than its burst

    Examples:
      | variant                       |
      | as all others                 |
      | equal share                   |
      | without a time to settle      |
      | with a bucket for each second |

  Scenario: Any rate, burst and number of gateways
    # Guards against quotas that exceed the burst while two lists of members are
    # in use.
    Then for any of them two choices of senders together keep within the burst

  Scenario: The leases of all gateways expired in an outage
    # Guards against gateways that choose the senders from a list in which
    # hardly any gateway is registered again.
    Then a gateway that is no longer listed sends nothing until the propagation time has passed

  Scenario: A record is older than the response of the instance
    # Guards against an older record that overrides what the instance has
    # stated.
    Then the longer of both times applies

  Scenario: More instances have started than are tracked
    # Guards against an instance that is taken for warm because it has run for
    # longer than most others.
    Then the instance that was reported last is tracked, however old it is

  @each.gateway
  Scenario: Every instance of a pool warms up
    # Guards against callers that are queued for instances which have reached
    # their warm-up rate, without being told when to retry.
    Given u1 and u2 warm up for 60 seconds, and are limited to 2 requests a second
    When 12 callers post to /safe/answer at the same time
    Then some were served, and the others refused at once as not run
    And neither u1 nor u2 got more than 2 requests

  @each.gateway
  Scenario: One instance of a pool warms up
    # Guards against refusals while another instance may get any number of
    # requests.
    Given u1 warms up for 60 seconds, and is limited to 2 requests a second
    When 12 callers post to /safe/answer at the same time
    Then all of them were served
    And u1 got no more than 2 requests

  @each.gateway
  Scenario: An instance is warm before its time is over
    # Guards against instances that are limited for longer than they state.
    Given u1 and u2 warm up for 60 seconds, and are limited to 2 requests a second
    When the records of u1 and u2 report that they are warm
    And 12 callers post to /safe/answer at the same time
    Then all of them were served

  @each.gateway
  Scenario: A failure domain is restored
    # Guards against overloading instances that became cold while their domain
    # was drained, before their records state it.
    Given instances that are limited to 2 requests a second while they warm up
    When domain one was drained and is restored
    And 12 callers post to /safe/answer at the same time
    Then neither u1 nor u2 got more than 2 requests

  @each.gateway
  Scenario: An instance states in a response that it has become cold
    # Guards against overloading an instance whose record still states that it
    # is warm.
    Given instances that are limited to 2 requests a second while they warm up
    And u1 and u2 have become cold, which only their responses report
    When callers have got a response from u1 and from u2
    And 12 callers post to /safe/answer at the same time
    Then neither u1 nor u2 got more than 2 requests after that

  @each.gateway
  Scenario: Stage work is done when all instances have reached their rate
    # Guards against stage work that is discarded where a short wait would have
    # been in time.
    Given two more gateways and an instance for stage work
    And u1 and u2 warm up for 60 seconds, and are limited to 2 requests a second
    When 3 callers bring stage work to a gateway that may send
    Then all of them were served
