Feature: Logs tell which requests were not served, and why

  Scenario: Each request that was not served has one cause
    # After an incident an operator has only logs.  Refusals, errors and callers
    # that disconnected were logged in three kinds of lines; a broken stream has
    # two.
    Given log lines of these ends of requests
      | event             | request | step   | reason          | peer | status |
      | request_ended     | a       | front  |                 |      | 200    |
      | request_ended     | b       | front  | overloaded      | p2   | 503    |
      | request_ended     | c       | stages | overloaded      | p1   | 503    |
      | request_ended     | d       | stages | stage_failed    | p2   | 503    |
      | request_ended     | e       | front  |                 |      | 500    |
      | request_abandoned | f       | stages |                 | p1   | 0      |
      | stream_broken     | g       | attempt | connection_lost | i-1  | 0      |
      | request_ended     | g       | front  |                 |      | 200    |
      | request_ended     | h       | front  | unauthorized    | r    | 401    |
      | request_ended     | i       | front  | not_configured  |      | 503    |
    When an operator asks for the losses
    Then 7 of 8 requests were not served
    And the losses are
      | cause                 | peer | requests |
      | refused at the door   | p2   | 1        |
      | refused in the stages | p1   | 1        |
      | pieces failed         | p2   | 1        |
      | upstream error        | pool | 1        |
      | caller left           | p1   | 1        |
      | connection broken     | i-1  | 1        |
      | process not ready     | pool | 1        |

  Scenario: Pools show how full their calls were
    Given log lines of calls of 4, 2 and 3 pieces, the first one full
    When an operator asks for the losses
    Then the pool has 3 calls of 3.0 pieces, 33.3% of them full

  Scenario: A response after the objective is late, but not lost
    Given log lines of an answer 20 ms late and one 300 ms in time
    When an operator asks for the losses
    Then 0 of 2 requests were not served
    And 1 was late

  Scenario Outline: A late response tells where it became late
    # Engines a third of which were slow made answers late that looked like
    # those that had waited for their stages.
    Given log lines of an answer <late> ms late whose stages took <staged> of <began> ms
    When an operator asks for the losses
    Then the report says that it was <where>

    Examples:
      | late | staged | began | where                    |
      | 200  | 1900   | 2000  | late before its instance |
      | 200  | 1700   | 2000  | late at its instance     |

  Scenario Outline: Losses are compared by <grouping>
    Given log lines of served, late and lost requests of two groups
    When an operator asks for the losses by <grouping>
    Then the groups are
      | group    | requests | not served | late  |
      | <first>  | 2        | 0.0%       | 50.0% |
      | <second> | 1        | 100.0%     | 0.0%  |

    Examples:
      | grouping     | first              | second             |
      | gateway      | g1                 | g2                 |
      | organisation | one                | two                |
      | prompt       | up to 1,000 tokens | over 16,000 tokens |

  Scenario: Losses can't be compared by something unknown
    Given log lines of served, late and lost requests of two groups
    When an operator asks for the losses by colour
    Then the command fails and names what is possible

  Scenario: Foreign lines and prefixes of lines are tolerated
    Given a log line prefixed by a time and a name, and lines that are not JSON
    When an operator asks for the losses
    Then 0 of 1 requests were not served

  Scenario: Input without any line of a gateway is an error
    Given a log without lines of a gateway
    When an operator asks for the losses
    Then the command fails and says so
