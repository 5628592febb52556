Feature: Gateways know the load and the speed of engines, and no more than is true

  Scenario: The usual work time of an instance is told apart from noise
    # Other programs slow an instance down by 2.5 for some hundred milliseconds.
    When an instance reports work times of 0.7, 1.75, 0.7 and 1.75 in one second
    Then its usual work time is 0.7
    And it is 1.7 when it has reported nothing less for 6 s
    And nothing is known of it when it has reported nothing for 6 s

  Scenario: Reports of a silent gateway end by themselves
    # A gateway is killed with requests in progress. Counted for ever, its
    # engines would look loaded.
    When a gateway that reported 5 requests at an engine is silent for 1001 ms
    Then the others hear of none of them

  Scenario: A gateway is told of the others' requests, not of its own
    When two gateways report 2 and 3 requests at one engine
    Then each hears of the other's only

  Scenario: Reports of an earlier start of an engine say nothing of the present one
    # An engine that starts again under its name has none of its requests.
    Given a gateway heard of 60 requests at an engine
    When the engine starts again under its name
    Then its state shows no request and no speed

  Scenario: Reports that stopped coming are not used
    # The host that collects reports dies. Its last word would hold for ever.
    Given a gateway heard of 60 requests at an engine
    When it hears nothing more for 1001 ms
    Then the state of the engine shows no request of others

  Scenario: What a host sends grows no faster than its bound
    Then at 30, 300 and 410 gateways a host sends at most 250 kB/s of reports
    And no gateway sends or gets more than 29 kB/s of them

  Scenario: An engine that started again carries no prompts of its earlier start
    # Prompts in progress ended on the new record: its load fell below nothing,
    # and it looked idle for as long as it ran.
    Given a prompt of 5000 tokens is being read by an engine
    When the engine starts again under its name and the attempt ends
    Then the engine has 0 unread tokens

  Scenario Outline: Gateways exchange reports only where engines report work times
    Given an engine with a request, and one of the <kind> answers with load "<load>"
    Then its gateway reports on <engines> engines

    Examples:
      | kind            | load      | engines |
      | engines         | 1,0,4     | 0       |
      | engines         | 1,0,4,100 | 1       |
      | plain instances | 1,0,4,100 | 0       |
