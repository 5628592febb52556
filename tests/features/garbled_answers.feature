@each.gateway
Feature: Answers of faulty engines cost at most their own requests

  Scenario: Engines send garbled answers to requests and calls for pieces
    # Guards against wrong answers, errors of the gateway and requests that
    # never end, whatever a faulty engine sends.
    Given two more gateways and an instance for stage work
    Then any garbled answers give no wrong answer, no error and no lost call
