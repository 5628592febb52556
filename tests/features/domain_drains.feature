@each.gateway
Feature: Instances in a drained failure domain get no requests

  Scenario Outline: The operators drain a failure domain with <value>
    # Guards against requests for instances of a domain that the operators have
    # drained, whatever value they have stored under its name.
    Given u3 in failure domain two
    When domain two is drained with <value>
    And 30 requests go to /safe/answer
    Then u3 has got no requests
    And each caller was served

    Examples:
      | value             |
      | an empty mapping  |
      | nothing           |
      | broken text       |

  Scenario: The drain ends
    # Guards against instances that are left out permanently.
    Given u3 in failure domain two
    When domain two is drained with nothing
    And domain two is restored
    And 30 requests go to /safe/answer
    Then u3 has got work

  Scenario: A domain without instances is drained
    # Guards against a drain of one domain that is applied to all domains.
    When domain nowhere is drained with nothing
    And 10 requests go to /safe/answer
    Then each caller was served

  Scenario: Every failure domain is drained
    # Guards against callers that wait for instances of a drained domain, and
    # against an attempt at such an instance because no other is left.
    When domain one is drained with nothing
    And 10 requests go to /safe/answer
    Then each caller was refused at once as not run
    And domain_drained was counted for each
    And nothing reached u1 or u2

  Scenario: A stream is in flight when its instance's domain is drained
    # Guards against responses that are cut off by a drain.
    When a stream is under way and domain one is drained
    Then the stream is complete

  Scenario: A stream breaks in a drained domain
    # Guards against streams that are resumed in a drained domain.
    Given u3 in failure domain two
    And domain one is drained with nothing
    When 5 requests go to /resumable/break
    Then nothing reached u1 or u2

  Scenario: A gateway starts while a domain is drained
    # Guards against gateways that learn of a drain only when it changes.
    Given u3 in failure domain two
    When domain two is drained with nothing
    And another gateway starts
    And 30 requests go to /safe/answer at the new gateway
    Then u3 has got no requests

  Scenario: The store becomes unavailable after a drain
    # Guards against drains that end when the store stops responding.
    Given u3 in failure domain two
    When domain two is drained with nothing
    And the store stops responding
    And 30 requests go to /safe/answer
    Then u3 has got no requests

  Scenario: Stage work in a drained domain
    # Guards against calls for pieces, and notifications about their results,
    # that still reach instances of a drained domain.
    Given two more gateways and an instance for stage work
    And s2 for stage work in failure domain two
    When domain two is drained with nothing
    And callers with stage work post 12 requests
    Then each caller was served
    And nothing has reached s2

  Scenario: Results are stored in a domain that is drained
    # Guards against notifications about results that reach a drained domain:
    # their producer releases the results by itself after a while.
    Given two more gateways and an instance for stage work
    When domain one is drained at all gateways while its pieces are made
    Then no result was released at s1

  Scenario: Every instance for stage work is drained
    # Guards against requests that wait for pieces which no instance may
    # process.
    Given two more gateways and an instance for stage work
    And the only instance for stage work is in failure domain two
    When domain two is drained with nothing
    And callers with stage work post 6 requests
    Then each caller was refused at once as not run
    And nothing has reached s2

  Scenario: Pieces wait when the domain of their instances is drained
    # Guards against pieces that stay queued until their callers disconnect.
    When pieces wait for a pool whose domain is drained
    Then they end at once as drained

  Scenario: Records lapse in an outage, and their domain is drained at its end
    # Guards against instances that are kept because their records may be
    # restored, although their domain may get no requests.
    When an instance lapses in an outage and its domain is drained
    Then no list gives it work until the drain ends

  Scenario: A gateway that cannot read the store is notified of a drain
    # Guards against drains that only gateways know to which the store responds.
    When a gateway notifies another of a drain
    Then the other gateway sends the domain no work

  Scenario: Operators see what is drained and which instances warm up
    # Guards against operators that cannot see why a pool gets less work.
    Given u3 in failure domain two
    And u1 warms up for 60 seconds, and is limited to 2 requests a second
    And a gateway that operators can ask
    When domain two is drained with nothing
    And operators ask ragworthctl for the instances of that gateway
    Then it names domain two, u1 with its limit and what was refused
