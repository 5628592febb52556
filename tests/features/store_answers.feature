@each.gateway
Feature: A gateway outlasts answers of the store that are broken off

  @fixture.log_lines
  Scenario: The store closes its connections in the middle of its answers
    # Guards against gateways that exit, all at once, because a part of an answer
    # is taken for the whole and cannot be decoded.
    Given the store cuts its answers
    When 8 more reads of the store were cut
    And the store answers as usual
    And the operators add a route for /new/
    Then the gateway serves /new/answer within its bound
    And no task of the gateway has failed
