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

  Scenario: The work of a choice does not grow with the states of all engines
    # At 300 gateways before 3,000 instances each choice gathered the state of
    # every engine, also where no engine reports a work time, and gateways took
    # twice the processor time.
    Then a choice among 2000 engines looks at 9 states at most
    And a choice without reported work times looks at none
