@each.gateway
Feature: Answers of faulty engines cost at most their own requests

  Scenario: Engines send garbled answers to requests and calls for pieces
    # Guards against wrong answers, errors of the gateway and requests that
    # never end, whatever a faulty engine sends.
    Given two more gateways and an instance for stage work
    Then any garbled answers give no wrong answer, no error and no lost call

  Scenario: A store sends garbled answers
    # Guards against an answer that raises in a reader of the store, which ends
    # the gateway, and against a call that never ends.
    Then any garbled answers of a store are results or failures of their calls

  Scenario: Peers send garbled answers
    # Guards against an answer of one peer that ends the loop of the pings, and
    # with it the gateway.
    Given two more gateways and an instance for stage work
    And 3 peers that answer everything garbled
    Then after 20 garbled answers of one no gateway asks to be shut down
    And 5 requests to /safe/answer are answered by its instances
