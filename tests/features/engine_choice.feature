Feature: Engines of uneven speed are chosen by what they have to read

  Scenario Outline: Callers wait hardly longer than for even engines
    # One engine in three took 2.4 times as long and got as many prompts as the
    # others: its streams began a second late and paused, while fast ones idled.
    Given 24 engines of which each third takes 2.4 times as long
    When <prompts> prompts of 500 to 40000 tokens arrive within 6 s
    Then the 99th percentile of the time to read them is at most 1.3 times that of even engines
    And each slow engine reads at most two thirds of what a fast one reads

    Examples:
      | prompts |
      | 300     |
      | 900     |

  Scenario Outline: Gateways that know the same do not all choose the same engine
    # Reports are some hundred milliseconds old. An engine that looked best to
    # all gateways got all prompts until the next report.
    Given 24 engines of which each third takes 2.4 times as long
    And engine 0 is the only one with nothing to read
    When <gateways> gateways choose for 10 prompts each before they hear again
    Then no engine gets more than a fifth of the prompts

    Examples:
      | gateways |
      | 4        |
      | 30       |
      | 300      |

  Scenario: An engine that reads a long prompt gets no short ones meanwhile
    Given 3 engines of which each third takes 2.4 times as long
    When engine 0 has 40000 tokens to read
    Then none of 50 prompts of 500 tokens goes there

  Scenario: Prompts that share a part keep their engine
    # Each engine that reads a shared part again delays the streams beside it.
    Given 24 engines of which each third takes 2.4 times as long
    When 20 prompts share a part of 4000 tokens and their engine has 4500 more to read
    Then all of them go to one engine

  Scenario: A prompt keeps the engine near which its stages were made
    Given 24 engines of which each third takes 2.4 times as long
    When the engine expected for a prompt has 1000 tokens more to read
    Then the prompt goes there all the same

  Scenario: An engine that other programs slow down at this moment is passed over
    Given 3 engines of which each third takes 2.4 times as long
    When engine 0 reported a moment ago that work takes 6 times as long
    Then none of 50 prompts of 500 tokens goes there

  Scenario: An engine without free slots is used only when no other has any
    Given 3 engines of which each third takes 2.4 times as long
    When engine 0 has all its slots taken and the others 20000 tokens to read
    Then none of 50 prompts of 500 tokens goes there

  Scenario: An engine about which nothing is known does not count as the fastest
    # After all gateways had been restarted nobody knew anything of any engine.
    Given 24 engines of which nothing is known
    Then they do not count as uneven
    And one whose speed is unknown is weighted like the usual one

  Scenario Outline: Pools whose engines hardly differ are balanced as before
    Given engines that take <times> times the usual
    Then they count as <verdict>

    Examples:
      | times        | verdict |
      | 1.0,1.0,1.0  | even    |
      | 1.0,1.3,1.0  | even    |
      | 0.7,0.7,1.7  | uneven  |

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

  Scenario: The work of a choice does not grow with the states of all engines
    # At 300 gateways before 3,000 instances each choice gathered the state of
    # every engine, also where no engine reports a work time, and gateways took
    # twice the processor time.
    Then a choice among 2000 engines looks at 9 states at most
    And a choice without reported work times looks at none
