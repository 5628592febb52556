@fixture.riga
Feature: Planned stops and leaving instances
  A planned stop cuts no request, and who leaves gets no new work.

  Scenario: Every sidecar of the ticketing pool is restarted under load
    # A rolling restart moves the memory of keys along; a caller sees neither
    # a cut connection nor an unknown outcome.
    Given steady load
    When each instance of ticketing is stopped and started in turn
    Then no request was cut or unknown
    And the books of all callers are clean

  Scenario: Every engine's sidecar is restarted under load
    Given steady load
    When each instance of lm-pool is stopped and started in turn
    Then no request was cut or unknown

  Scenario: Both entries are restarted under load
    # The balancer learns late that an entry stops and goes on sending to it.
    Given steady load
    When each instance of entry is stopped and started in turn
    Then no request was cut or unknown
    And the books of all callers are clean

  Scenario: A leaving upstream gets no new work
    # The platform says, late, that an instance leaves.
    Given steady load
    When portal-0 is listed as leaving
    Then it soon gets no more calls while others do
    When portal-0 is listed as live
    Then it soon gets calls again
