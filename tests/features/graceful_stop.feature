@fixture.riga
Feature: Planned stops and instances that shut down
  A planned stop interrupts no request, and an instance that shuts down gets no
  new work.

  Scenario: Every sidecar of the ticketing pool is restarted under load
    # A rolling restart hands over the stored keys; a caller sees neither a
    # broken connection nor an unknown outcome.
    Given steady load
    When each instance of ticketing is stopped and started in turn
    Then no request was interrupted or has an unknown outcome
    And no request of any caller was lost, doubled, crossed or falsely reported as not run

  Scenario: Every engine's sidecar is restarted under load
    Given steady load
    When each instance of lm-pool is stopped and started in turn
    Then no request was interrupted or has an unknown outcome

  Scenario: Both entries are restarted under load
    # The balancer learns late that an entry stops and still sends requests to
    # it.
    Given steady load
    When each instance of entry is stopped and started in turn
    Then no request was interrupted or has an unknown outcome
    And no request of any caller was lost, doubled, crossed or falsely reported as not run

  Scenario: An upstream that shuts down gets no new work
    # The platform reports late that an instance shuts down.
    Given steady load
    When portal-0 is listed as leaving
    Then it soon gets no more calls while others do
    When portal-0 is listed as live
    Then it soon gets calls again
